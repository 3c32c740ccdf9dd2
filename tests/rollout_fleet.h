// A fleet of VMs that roll out a version, in virtual time and without a
// network: requests on two routes, reports and decisions at their intervals,
// and disruptions.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "policy/version_rollout.h"

namespace hornbeamspool::policy {

constexpr std::int64_t kBeganMs = 100'000;
constexpr std::int64_t kTimeLimitMs = 20'000;

inline RolloutOrder Order(std::int64_t time_limit_ms = kTimeLimitMs) {
  return {"llm", "v2", std::chrono::milliseconds(time_limit_ms), 7};
}

inline coordination::TimePoint At(std::int64_t ms) {
  return coordination::TimePoint(std::chrono::milliseconds(ms));
}

// How the new version answers, by the time since the order, its fraction of the
// requests of the last second, and the route.
struct Behaviour {
  std::function<double(double second, double fraction, int route)> failure_rate;
  std::function<double(double second, double fraction, int route)> slowdown;
  double slow_share = 1;   // of the new version's answers
  double median_ms = 200;  // response time of the old version
  double deviation = 0.8;  // of the logarithm of response times
  std::int64_t caller_timeout_ms = 60'000;
};

inline Behaviour Good() {
  const auto none = [](double, double, int) { return 0.0; };
  const auto same = [](double, double, int) { return 1.0; };
  Behaviour good;
  good.failure_rate = none;
  good.slowdown = same;
  return good;
}

enum class DisruptionKind : std::uint8_t {
  kNoUpstreams,  // VMs reach no upstream: their sends hang
  kNoStore,      // VMs don't reach the store
  kKilled,       // processes are killed, and are back at the end
  kFailing,      // half of the answers of both versions to VMs are failures
  kCount
};

struct Disruption {
  DisruptionKind kind = DisruptionKind::kNoUpstreams;
  double from_s = 0;
  double to_s = 0;
  double share = 1;  // of the VMs
};

struct FleetOutcome {
  RolloutPhase phase = RolloutPhase::kCanary;
  double ended_after = 0;  // seconds
  // Requests that reached an upstream before the deadline.
  std::int64_t requests = 0;
  std::int64_t new_version_requests = 0;
  // Sent more than 2 s after the 50th bad answer of the new version.
  std::int64_t new_version_late = 0;
};

// Interval of reports and decisions, and the shorter one near a decision.
constexpr std::int64_t kIntervalMs = 500;
constexpr std::int64_t kShortIntervalMs = 150;

// Without a partition a send reaches its upstream; in one it hangs until the
// connection is given up.
constexpr std::int64_t kHangMs = 2'000;

class Fleet {
 public:
  explicit Fleet(std::size_t vms, std::int64_t time_limit_ms = kTimeLimitMs,
                 std::uint32_t seed = 5)
      : time_limit_ms(time_limit_ms), random(seed) {
    for (std::size_t i = 0; i < vms; ++i) {
      this->vms.push_back(this->Start());
      this->stored.emplace_back();
    }
  }

  Fleet& With(Disruption disruption) {
    this->disruptions.push_back(disruption);
    return *this;
  }

  FleetOutcome Run(const Behaviour& behaviour, double per_second) {
    FleetOutcome outcome;
    RolloutProgress progress =
        BeginRollout(Order(this->time_limit_ms), kBeganMs);
    std::int64_t new_version_before = 0;
    std::int64_t requests_before = 0;
    double fraction = 0;
    for (std::int64_t ms = 0; ms < this->time_limit_ms + 5'000; ms += 10) {
      this->EndSends(ms);
      this->Restart(ms);
      const std::int64_t interval = IsDecisionNear(progress, kBeganMs + ms)
                                        ? kShortIntervalMs
                                        : kIntervalMs;
      if (ms % interval == 0) this->Drive(progress, ms);
      if (ms % 1'000 == 0) {
        const auto sent =
            static_cast<double>(outcome.requests - requests_before);
        fraction = sent == 0
                       ? 0
                       : static_cast<double>(outcome.new_version_requests -
                                             new_version_before) /
                             sent;
        new_version_before = outcome.new_version_requests;
        requests_before = outcome.requests;
      }
      if (IsFinal(progress.phase) && outcome.ended_after == 0) {
        outcome.ended_after = static_cast<double>(ms) / 1'000;
      }
      std::poisson_distribution<int> arrivals(per_second / 100);
      for (int n = arrivals(this->random); n > 0; --n) {
        this->Send(behaviour, ms, fraction, outcome);
      }
    }
    outcome.phase = progress.phase;
    return outcome;
  }

 private:
  // A send in flight, and how it will end.
  struct InFlightSend {
    std::size_t vm = 0;
    std::uint64_t incarnation = 0;
    std::string route;
    std::string version;
    coordination::TimePoint sent_at{};
    bool bad = false;
    VersionRollouts::EndedSend ended;
  };

  struct Vm {
    VersionRollouts rollouts;
    std::uint64_t incarnation;
  };

  Vm Start() {
    const std::uint64_t incarnation = ++this->incarnations;
    Vm vm{VersionRollouts(incarnation), incarnation};
    const std::size_t size = std::max(this->stored.size(), this->vms.size());
    vm.rollouts.SetFleetSize(static_cast<std::int64_t>(size));
    vm.rollouts.SetOrder(Order(this->time_limit_ms));
    return vm;
  }

  bool IsDisrupted(DisruptionKind kind, std::size_t vm, std::int64_t ms) const {
    const double second = static_cast<double>(ms) / 1'000;
    return std::any_of(
        this->disruptions.begin(), this->disruptions.end(),
        [&](const Disruption& disruption) {
          return disruption.kind == kind && second >= disruption.from_s &&
                 second < disruption.to_s &&
                 static_cast<double>(vm) <
                     disruption.share * static_cast<double>(this->vms.size());
        });
  }

  // Starts the processes that were killed. They find the reports of their
  // predecessors.
  void Restart(std::int64_t ms) {
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
      const bool back =
          this->IsDisrupted(DisruptionKind::kKilled, vm, ms - 10) &&
          !this->IsDisrupted(DisruptionKind::kKilled, vm, ms);
      if (!back) continue;
      this->vms[vm] = this->Start();
      this->vms[vm].rollouts.SetFleetSize(
          static_cast<std::int64_t>(this->vms.size()));
      this->vms[vm].rollouts.MergePredecessorReport("llm", this->stored[vm]);
    }
  }

  void Send(const Behaviour& behaviour, std::int64_t ms, double fraction,
            FleetOutcome& outcome) {
    const std::size_t index = this->random() % this->vms.size();
    if (this->IsDisrupted(DisruptionKind::kKilled, index, ms)) return;
    VersionRollouts& vm = this->vms[index].rollouts;
    vm.SetFleetSize(static_cast<std::int64_t>(this->vms.size()));
    const int route = static_cast<int>(this->random() % 2);
    const bool use_new_version =
        vm.UsesNewVersion("llm", "route-" + std::to_string(route), At(ms));
    const bool to_new = vm.EligibilityOf("llm", "v2", use_new_version) ==
                        VersionRollouts::Eligibility::kPreferred;
    const bool arrives =
        !this->IsDisrupted(DisruptionKind::kNoUpstreams, index, ms);
    if (arrives && ms < this->time_limit_ms) {
      ++outcome.requests;
      if (to_new) ++outcome.new_version_requests;
    }
    const bool late = arrives && to_new && this->bad_since != 0 &&
                      ms > this->bad_since + 2'000;
    if (late) ++outcome.new_version_late;
    InFlightSend send;
    send.vm = index;
    send.incarnation = this->vms[index].incarnation;
    send.route = "route-" + std::to_string(route);
    send.version = to_new ? "v2" : "v1";
    send.sent_at = At(ms);
    send.ended.revision =
        vm.OnSent({"llm", send.route, send.version, send.sent_at});
    const double second = static_cast<double>(ms) / 1'000;
    double rate =
        to_new ? behaviour.failure_rate(second, fraction, route) : 0.02;
    const bool failing = this->IsDisrupted(DisruptionKind::kFailing, index, ms);
    if (failing) rate = std::max(rate, 0.5);
    std::uniform_real_distribution<double> chance(0, 1);
    double slowdown = to_new ? behaviour.slowdown(second, fraction, route) : 1;
    if (chance(this->random) >= behaviour.slow_share) slowdown = 1;
    std::lognormal_distribution<double> took(std::log(behaviour.median_ms),
                                             behaviour.deviation);
    auto took_ms = static_cast<std::int64_t>(took(this->random) * slowdown);
    const bool fails = chance(this->random) < rate;
    send.bad = fails || slowdown > 1;
    send.ended.outcome = fails ? Outcome::kFailed : Outcome::kAnswered;
    send.ended.arrived = arrives;
    if (!arrives) {
      took_ms = kHangMs;
      send.ended.outcome = Outcome::kNotRun;
    } else if (took_ms > behaviour.caller_timeout_ms) {
      took_ms = behaviour.caller_timeout_ms;
      send.ended.outcome = Outcome::kAbandoned;
    }
    this->in_flight.emplace(ms + took_ms, std::move(send));
  }

  void EndSends(std::int64_t ms) {
    while (!this->in_flight.empty() && this->in_flight.begin()->first <= ms) {
      InFlightSend send = std::move(this->in_flight.begin()->second);
      this->in_flight.erase(this->in_flight.begin());
      const bool answered = send.ended.outcome != Outcome::kNotRun;
      if (send.version == "v2" && answered && send.bad && ++this->bad == 50) {
        this->bad_since = ms;
      }
      Vm& vm = this->vms[send.vm];
      if (vm.incarnation != send.incarnation) continue;
      send.ended.send = {"llm", send.route, send.version, send.sent_at};
      send.ended.ended_at = At(ms);
      vm.rollouts.OnEnded(send.ended);
    }
  }

  void Drive(RolloutProgress& progress, std::int64_t ms) {
    bool reachable = false;
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
      if (this->IsCutOff(vm, ms)) continue;
      reachable = true;
      this->stored[vm] = this->vms[vm].rollouts.ReportAt("llm", At(ms));
      this->stored[vm].reported_ms = kBeganMs + ms;
    }
    if (!reachable) return;
    progress.phase =
        NextPhase(progress, this->stored, this->vms.size(), {}, kBeganMs + ms);
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
      if (this->IsCutOff(vm, ms)) continue;
      this->vms[vm].rollouts.SetStoreClock(kBeganMs + ms, At(ms));
      this->vms[vm].rollouts.SetProgress("llm", progress);
    }
  }

  bool IsCutOff(std::size_t vm, std::int64_t ms) const {
    return this->IsDisrupted(DisruptionKind::kNoStore, vm, ms) ||
           this->IsDisrupted(DisruptionKind::kKilled, vm, ms);
  }

  using Outcome = VersionRollouts::Outcome;

  std::int64_t time_limit_ms;
  std::vector<Vm> vms;
  std::vector<RolloutReport> stored;  // by VM, as the store has them
  std::vector<Disruption> disruptions;
  // By the time of their end.
  std::multimap<std::int64_t, InFlightSend> in_flight;
  std::int64_t bad = 0;        // answers of the new version
  std::int64_t bad_since = 0;  // time of the 50th
  std::uint64_t incarnations = 0;
  std::mt19937_64 random;
};

}  // namespace hornbeamspool::policy
