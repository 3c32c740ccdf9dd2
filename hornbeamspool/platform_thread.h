// The thread that talks to the platform: carries out table commands, and polls
// the configuration's epoch, the list of VMs and the upstreams' load.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "hornbeamspool/io_wakeup.h"
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/platform_messages.h"
#include "hornbeamspool/recorder.h"
#include "hornbeamspool/ring.h"
#include "hornbeamspool/snapshot.h"
#include "hornbeamspool/table_worker.h"
#include "http/client.h"
#include "http/task.h"
#include "platform/object_store.h"
#include "platform/table_client.h"
#include "platform/vm_list.h"
#include "settings/node_settings.h"

namespace hornbeamspool {

class PlatformThread {
 public:
  PlatformThread(const settings::PlatformSettings& settings, std::string holder,
                 Metrics& metrics, EventSink& sink);
  PlatformThread(const PlatformThread&) = delete;
  PlatformThread& operator=(const PlatformThread&) = delete;
  ~PlatformThread();

  Ring<policy::TableCommand>& Commands() { return this->commands; }

  void Start(Ring<PlatformMessage>& to_decisions);
  void Stop();

  // A peer holds this epoch: if it is newer, it is read at once.
  void NoteEpoch(std::uint64_t epoch);

  // The routers on the platform's list, for the peers' thread.
  const Snapshot<std::vector<platform::ListedVm>>& Routers() const {
    return this->routers;
  }

 private:
  http::Task<void> CarryCommand(policy::TableCommand command);
  http::Task<void> PollConfig();
  http::Task<void> PollVms();
  http::Task<void> PollLoads();
  http::Task<void> ReadLoad(platform::ListedVm vm);
  http::Task<void> ReadConfig();
  http::Task<void> Deliver(PlatformMessage message);

  settings::PlatformSettings settings;
  EventSink* sink;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  http::Timer config_timer;
  IoWakeup command_wakeup;
  IoWakeup epoch_wakeup;
  Ring<policy::TableCommand> commands;
  http::Client client;
  platform::TableClient table;
  platform::ObjectStore objects;
  TableWorker worker;
  Ring<PlatformMessage>* to_decisions = nullptr;
  std::uint64_t config_epoch = 0;
  std::atomic<std::uint64_t> peers_epoch{0};
  std::vector<platform::ListedVm> upstreams;
  Snapshot<std::vector<platform::ListedVm>> routers;
  std::thread thread;
};

}  // namespace hornbeamspool
