// Tells whether this VM is cut off from all upstreams, by the results of its
// connection attempts. Attempts to several upstreams fail at once then; one
// that is down, a service or an availability zone of upstreams leaves others
// that can be reached.
#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class UplinkMonitor {
 public:
  // Records the result of an attempt to connect to an upstream directly.
  void OnConnect(std::string_view upstream, bool reached,
                 coordination::TimePoint now);

  // Whether the VM is cut off, until connections to several upstreams succeed.
  bool IsCutOff() const { return this->cut_off; }

  // Whether an attempt has been recorded at all.
  bool InUse() const { return this->in_use; }
  // Whether a connection to an upstream other than `upstream` has succeeded
  // since `since`.
  bool ReachedAnother(std::string_view upstream,
                      coordination::TimePoint since) const;

  // The upstreams that are to be probed now, of `upstreams`: some while there
  // is a suspicion that the VM is cut off, to tell when it is over, and one
  // when a VM with requests (`busy`) has not connected to any lately.
  std::vector<std::string> TakeDueProbes(std::span<const std::string> upstreams,
                                         bool busy,
                                         coordination::TimePoint now);

  // The upstreams to probe now because another one has refused a connection:
  // whether that proves that it has ended depends on whether others accept one.
  std::vector<std::string> TakeConfirmingProbes(
      std::span<const std::string> upstreams, coordination::TimePoint now);

 private:
  struct Result {
    bool reached = false;
    coordination::TimePoint at{};
  };
  struct Counts {
    std::size_t reached = 0;
    std::size_t failed = 0;
  };

  Counts CountRecent(coordination::TimePoint now);
  // The next `count` upstreams in turn without a result of the last moments.
  std::vector<std::string> NextProbes(std::span<const std::string> upstreams,
                                      std::size_t count,
                                      coordination::TimePoint now);

  std::map<std::string, Result, std::less<>> results;  // the latest by upstream
  std::size_t upstreams = 0;                           // known ones
  std::size_t next_probe = 0;  // index, modulo their number
  coordination::TimePoint probed_at{};
  coordination::TimePoint confirmed_at{};  // the last confirming probes
  bool in_use = false;
  bool cut_off = false;
};

}  // namespace hornbeamspool::policy
