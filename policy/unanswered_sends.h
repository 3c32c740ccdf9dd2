// The sends that a crash of an upstream would be counted against: those in
// flight, and those that lately got no complete answer. `Send` identifies a
// send to one instance; copies are counted separately.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

template <typename Send>
class UnansweredSends {
 public:
  void OnSent(const Send& send, std::string_view instance_id) {
    auto found = this->in_flight.find(instance_id);
    if (found == this->in_flight.end()) {
      found = this->in_flight.emplace(instance_id, std::vector<Send>{}).first;
    }
    found->second.push_back(send);
  }

  void OnEnded(const Send& send, std::string_view instance_id) {
    const auto found = this->in_flight.find(instance_id);
    if (found == this->in_flight.end()) return;
    std::vector<Send>& sends = found->second;
    const auto ended = std::find(sends.begin(), sends.end(), send);
    if (ended == sends.end()) return;
    *ended = sends.back();
    sends.pop_back();
    if (sends.empty()) this->in_flight.erase(found);
  }

  // The instance may have run the request and sent no complete answer.
  void OnIncompleteAnswer(const Send& send, std::string_view instance_id,
                          coordination::TimePoint now) {
    this->Expire(now);
    if (this->incomplete.size() >= kMaxIncomplete) {
      this->incomplete.pop_front();
    }
    this->incomplete.push_back({send, std::string(instance_id), now});
  }

  template <typename Predicate>
  void EraseIncomplete(Predicate matches) {
    std::erase_if(this->incomplete, [&](const IncompleteAnswer& answer) {
      return matches(answer.send);
    });
  }

  // The sends that are in flight at the instance or got no complete answer from
  // it. Drops its incomplete answers.
  std::vector<Send> TakeAffected(std::string_view instance_id,
                                 coordination::TimePoint now) {
    this->Expire(now);
    std::vector<Send> sends;
    if (const auto found = this->in_flight.find(instance_id);
        found != this->in_flight.end()) {
      sends = found->second;
    }
    for (const IncompleteAnswer& answer : this->incomplete) {
      if (answer.instance_id == instance_id) sends.push_back(answer.send);
    }
    std::erase_if(this->incomplete,
                  [instance_id](const IncompleteAnswer& answer) {
                    return answer.instance_id == instance_id;
                  });
    return sends;
  }

  // Restarts the retention of incomplete answers.
  void ExtendIncomplete(coordination::TimePoint now) {
    for (IncompleteAnswer& answer : this->incomplete) answer.at = now;
  }

  bool HasIncomplete(std::string_view instance_id,
                     coordination::TimePoint now) {
    this->Expire(now);
    return std::any_of(this->incomplete.begin(), this->incomplete.end(),
                       [instance_id](const IncompleteAnswer& answer) {
                         return answer.instance_id == instance_id;
                       });
  }

  bool IsInFlight(const Send& send) const {
    return std::any_of(
        this->in_flight.begin(), this->in_flight.end(), [&](const auto& entry) {
          const std::vector<Send>& sends = entry.second;
          return std::find(sends.begin(), sends.end(), send) != sends.end();
        });
  }

 private:
  // How long an incomplete answer counts as evidence. A crash is detected
  // within this time: the upstream's registry entry expires after three missed
  // heartbeats.
  static constexpr coordination::Duration kIncompleteTimeout =
      std::chrono::seconds(8);
  static constexpr std::size_t kMaxIncomplete = 4096;

  struct IncompleteAnswer {
    Send send{};
    std::string instance_id;
    coordination::TimePoint at{};
  };

  void Expire(coordination::TimePoint now) {
    while (!this->incomplete.empty() &&
           now - this->incomplete.front().at > kIncompleteTimeout) {
      this->incomplete.pop_front();
    }
  }

  // By instance, one for each copy.
  std::map<std::string, std::vector<Send>, std::less<>> in_flight;
  std::deque<IncompleteAnswer> incomplete;  // the oldest first
};

}  // namespace hornbeamspool::policy
