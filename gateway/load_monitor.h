// Watches the load of this VM. While it is overloaded, it reports itself as not
// ready to the load balancer and closes connections after each answer, so that
// callers reconnect to other VMs.
#pragma once

#include <cstdint>

#include "coordination/time.h"
#include "gateway/context.h"
#include "policy/lag_meter.h"

namespace hornbeamspool::http {
class Server;
}

namespace hornbeamspool::gateway {

class LoadMonitor {
 public:
  // `max_descriptors`: limit of the process on open files and sockets.
  LoadMonitor(const Context& context, http::Server& callers,
              std::int64_t max_descriptors)
      : context(context), callers(&callers), max_descriptors(max_descriptors) {}

  // Takes a sample. `lateness` is how late the latest timer fired.
  void Update(coordination::Duration lateness, coordination::TimePoint now);
  bool Overloaded() const { return this->overloaded; }
  // The process stops: its connections stay closed after each answer.
  void Stop() { this->stopping = true; }

 private:
  Context context;
  http::Server* callers;
  std::int64_t max_descriptors;
  policy::LagMeter lag;
  bool overloaded = false;
  bool stopping = false;
};

}  // namespace hornbeamspool::gateway
