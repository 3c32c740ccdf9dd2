// The thread that communicates with the platform's store and the upstreams'
// load endpoints.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "hornbeamspool/fault_report.h"
#include "hornbeamspool/io_wakeup.h"
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/node_status.h"
#include "hornbeamspool/platform_messages.h"
#include "hornbeamspool/recorder.h"
#include "hornbeamspool/snapshot.h"
#include "hornbeamspool/spsc_queue.h"
#include "hornbeamspool/table_worker.h"
#include "http/client.h"
#include "http/task.h"
#include "platform/item_table.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "policy/upstream_directory.h"
#include "settings/node_settings.h"

namespace hornbeamspool {

// Runs an event loop that executes the router's table commands, follows the
// tables of upstreams and of routers, polls for a newer configuration and polls
// the upstreams' load. Results go to the router's thread.
class PlatformThread {
 public:
  // `holder`: see TableWorker.
  PlatformThread(const settings::NodeSettings& settings, std::string holder,
                 Metrics& metrics, EventSink& sink,
                 const Snapshot<NodeStatus>& node_status);
  PlatformThread(const PlatformThread&) = delete;
  PlatformThread& operator=(const PlatformThread&) = delete;
  ~PlatformThread();

  // The queue of table commands from the router's thread.
  SpscQueue<policy::TableCommand>& Commands() { return this->commands; }

  void Start(SpscQueue<PlatformMessage>& to_router);
  void Stop();

  // Removes this router from the table of routers. Best effort: waits for a
  // short time only.
  void Unregister();

  // Reports a peer's config epoch. Reads the configuration at once if the epoch
  // is newer than any reported before. Called on the peers' thread.
  void OnPeerEpoch(std::uint64_t epoch);

  // Heartbeat addresses from the table of routers, for the peers' thread.
  const Snapshot<std::vector<std::string>>& PeerAddresses() const {
    return this->routers;
  }

 private:
  http::Task<void> ExecuteCommand(policy::TableCommand command);
  http::Task<void> PollConfig();
  http::Task<void> Register();
  http::Task<void> RemoveOwnRow(std::shared_ptr<std::promise<void>> removed);
  http::Task<void> PollUpstreamLoad();
  bool IsPollDue(const policy::UpstreamEntry& entry,
                 coordination::TimePoint now);
  http::Task<void> FetchLoad(policy::UpstreamEntry entry);
  void OnUpstreamChanges(const std::vector<platform::StoreRow>& rows);
  void OnUpstreamSnapshot(const std::vector<platform::StoreRow>& rows);
  void OnRouterChanges(const std::vector<platform::StoreRow>& rows);
  void OnRouterSnapshot(const std::vector<platform::StoreRow>& rows);
  void SendUpstreamList();
  void RecordStoreReachability(std::string_view table, bool reachable);
  http::Task<void> ReadConfig();
  http::Task<void> SendToRouter(PlatformMessage message);

  settings::PlatformSettings settings;
  std::string name;
  std::string peer_address;
  EventSink* sink;
  http::ExceptionHandler on_exception;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard;
  http::Timer config_timer;
  IoWakeup command_wakeup;
  IoWakeup epoch_wakeup;
  SpscQueue<policy::TableCommand> commands;
  http::Client client;
  platform::StoreClient store;
  platform::ItemTable table;
  platform::TableFollower upstream_table;
  platform::TableFollower router_table;
  TableWorker worker;
  SpscQueue<PlatformMessage>* to_router = nullptr;
  std::uint64_t config_epoch = 0;
  std::atomic<std::uint64_t> newest_peer_epoch{0};
  const Snapshot<NodeStatus>* node_status;
  policy::UpstreamDirectory upstreams;
  // By id, of rate-limited upstreams.
  std::map<std::string, coordination::TimePoint> last_polls;
  std::map<std::string, std::string> router_addresses;  // by name
  Snapshot<std::vector<std::string>> routers;
  std::thread thread;
};

}  // namespace hornbeamspool
