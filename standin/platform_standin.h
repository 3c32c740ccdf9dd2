// A stand-in for the platform: table service, object store, weight store and
// list of VMs behind one address, each with its own faults.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "coordination/time.h"
#include "http/exchange.h"
#include "http/server.h"
#include "http/task.h"
#include "standin/fault_gate.h"
#include "standin/table_standin.h"

namespace hornbeamspool::standin {

class PlatformStandin {
 public:
  // `vms` is the text of the list of VMs, as GET /vms answers it.
  PlatformStandin(boost::asio::io_context& io, std::string vms);

  // Returns the port, 0 on failure.
  std::uint16_t Listen(std::string_view address);

 private:
  // A list that was put and is not seen yet.
  struct VmChange {
    coordination::TimePoint due;
    std::string vms;
  };

  http::Task<void> Handle(http::Exchange& exchange);
  http::Response Objects(const http::Request& request);
  http::Response Weights(const http::Request& request);
  http::Response Vms(const http::Request& request);
  http::Response Control(const http::Request& request);
  const std::string& LaggingVms();
  FaultGate& GateOf(std::string_view path);

  // Writes to one service's weights are no closer than this.
  static constexpr coordination::Duration kWeightInterval =
      std::chrono::seconds(1);

  boost::asio::io_context* io;
  http::Server server;
  FaultGate table_gate;
  FaultGate object_gate;
  FaultGate weight_gate;
  FaultGate vm_gate;
  TableStandin table;
  std::map<std::string, std::string, std::less<>> objects;
  std::map<std::string, std::string, std::less<>> weights;
  std::map<std::string, coordination::TimePoint, std::less<>> weights_at;
  std::string vms;
  std::deque<VmChange> vm_changes;
};

}  // namespace hornbeamspool::standin
