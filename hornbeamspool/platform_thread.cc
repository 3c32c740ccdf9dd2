#include "hornbeamspool/platform_thread.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>

#include "hornbeamspool/clock.h"
#include "hornbeamspool/ledger_rows.h"
#include "http/background_task.h"
#include "http/task.h"
#include "platform/documents.h"
#include "platform/single_writer_row.h"
#include "platform/upstream_report.h"
#include "policy/rate_limits.h"
#include "settings/fleet_settings.h"
#include "settings/settings_error.h"

namespace hornbeamspool {
namespace {

namespace net = boost::asio;

constexpr std::size_t kCommandCapacity = 4096;
// Interval of retries while the queue to the router's thread is full.
constexpr coordination::Duration kQueueRetryDelay =
    std::chrono::milliseconds(2);

// The table of routers: a row for each router, from its name to its heartbeat
// address.
constexpr std::string_view kRouterTable = "routers";

// Delay before another attempt to write this router's row.
constexpr coordination::Duration kRegisterRetryDelay =
    std::chrono::milliseconds(300);

// Shutdown waits at most this long for this router's row to be removed. If
// the row remains, peers only send some heartbeats to an address where no
// process receives them.
constexpr std::chrono::milliseconds kUnregisterTimeout{500};

// Fraction of an upstream's rate limit that polls of its load may take.
constexpr double kPolledFraction = 0.1;

policy::ListedUpstream ToUpstream(const policy::UpstreamEntry& entry) {
  return policy::ListedUpstream{
      entry.id,      entry.service,  entry.version,     entry.availability_zone,
      entry.address, entry.draining, entry.InstanceId()};
}

}  // namespace

PlatformThread::PlatformThread(const settings::NodeSettings& settings,
                               std::string holder, Metrics& metrics,
                               EventSink& sink,
                               const Snapshot<NodeStatus>& node_status)
    : settings(settings.platform),
      name(settings.name),
      peer_address(settings.peers.address),
      sink(&sink),
      on_exception(MakeFaultReporter("platform", metrics, sink)),
      work_guard(net::make_work_guard(this->io)),
      config_timer(this->io),
      command_wakeup(this->io,
                     [this] {
                       this->commands.Drain([this](policy::TableCommand c) {
                         http::Spawn(this->io,
                                     this->ExecuteCommand(std::move(c)),
                                     this->on_exception);
                       });
                     }),
      epoch_wakeup(this->io, [this] { this->config_timer.cancel(); }),
      commands(kCommandCapacity, [this] { this->command_wakeup.Notify(); }),
      client(this->io),
      store(this->client, this->settings.store, this->settings.timeout),
      table(this->store, std::string(rows::kTable)),
      upstream_table(
          this->io, this->store, std::string(platform::kUpstreamTable),
          {[this](const auto& rows) { this->OnUpstreamSnapshot(rows); },
           [this](const auto& rows) { this->OnUpstreamChanges(rows); },
           [this](bool reachable) {
             this->upstreams.SetReachable(reachable, Now());
             this->RecordStoreReachability(platform::kUpstreamTable, reachable);
           },
           this->on_exception, [](std::uint64_t) {},
           [this](const auto& rows) {
             this->upstreams.Merge(platform::DecodeUpstreams(rows), Now());
             this->SendUpstreamList();
           }}),
      router_table(this->io, this->store, std::string(kRouterTable),
                   {[this](const auto& rows) { this->OnRouterSnapshot(rows); },
                    [this](const auto& rows) { this->OnRouterChanges(rows); },
                    [this](bool reachable) {
                      this->RecordStoreReachability(kRouterTable, reachable);
                    },
                    this->on_exception}),
      worker(this->table, std::move(holder), metrics),
      node_status(&node_status) {}

PlatformThread::~PlatformThread() { this->Stop(); }

void PlatformThread::Start(SpscQueue<PlatformMessage>& to_router) {
  this->to_router = &to_router;
  http::SpawnBackgroundTask(
      this->io, [this] { return this->PollConfig(); }, this->on_exception);
  http::SpawnBackgroundTask(
      this->io, [this] { return this->Register(); }, this->on_exception);
  http::SpawnBackgroundTask(
      this->io, [this] { return this->PollUpstreamLoad(); },
      this->on_exception);
  this->upstream_table.Start();
  this->router_table.Start();
  this->thread =
      std::thread([this] { http::RunEventLoop(this->io, this->on_exception); });
}

void PlatformThread::Stop() {
  this->io.stop();
  if (this->thread.joinable()) this->thread.join();
}

void PlatformThread::OnPeerEpoch(std::uint64_t epoch) {
  if (epoch <= this->newest_peer_epoch.load()) return;
  this->newest_peer_epoch = epoch;
  this->epoch_wakeup.Notify();
}

http::Task<void> PlatformThread::ExecuteCommand(policy::TableCommand command) {
  PlatformMessage message = co_await this->worker.Execute(std::move(command));
  co_await this->SendToRouter(std::move(message));
}

// Applies backpressure: a full queue delays the message, and nothing is
// dropped.
http::Task<void> PlatformThread::SendToRouter(PlatformMessage message) {
  http::Timer timer(this->io);
  while (this->to_router->FreeSlots() == 0) {
    timer.expires_after(kQueueRetryDelay);
    co_await timer.async_wait(http::kAwait);
  }
  this->to_router->TryPush(std::move(message));
}

http::Task<void> PlatformThread::PollConfig() {
  while (true) {
    co_await this->ReadConfig();
    this->config_timer.expires_after(this->settings.poll);
    boost::system::error_code ignored;
    co_await this->config_timer.async_wait(
        net::redirect_error(http::kAwait, ignored));
  }
}

http::Task<void> PlatformThread::ReadConfig() {
  const auto row = co_await this->table.Get(rows::EpochKey());
  if (!row.item) co_return;
  const auto epoch = static_cast<std::uint64_t>(row.item->Number("epoch"));
  if (epoch <= this->config_epoch) co_return;
  const auto text = co_await this->store.GetObject(row.item->Text("object"));
  if (!text) co_return;
  std::optional<policy::FleetConfig> config;
  std::string error_text;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(config, settings::ParseFleetConfig(*text));
        return {};
      },
      [&](const settings::SettingsErrorList& errors) {
        error_text = errors.front().where + ": " + errors.front().message;
      },
      [&] { error_text = "unknown fault"; });
  if (!config) {
    policy::Event event;
    event.kind = policy::EventKind::kConfigRefused;
    event.detail = policy::KeyValue("fault", error_text);
    this->sink->Record(std::move(event));
    co_return;
  }
  this->config_epoch = epoch;
  PlatformMessage message = ConfigUpdate{epoch, std::move(*config)};
  co_await this->SendToRouter(std::move(message));
}

http::Task<void> PlatformThread::Register() {
  http::Timer timer(this->io);
  while (!co_await platform::UpsertRow(this->store, std::string(kRouterTable),
                                       this->name, this->peer_address)) {
    timer.expires_after(kRegisterRetryDelay);
    co_await timer.async_wait(http::kAwait);
  }
}

http::Task<void> PlatformThread::RemoveOwnRow(
    std::shared_ptr<std::promise<void>> removed) {
  co_await platform::DeleteRow(this->store, std::string(kRouterTable),
                               this->name);
  removed->set_value();
}

void PlatformThread::Unregister() {
  auto removed = std::make_shared<std::promise<void>>();
  auto done = removed->get_future();
  http::Spawn(this->io, this->RemoveOwnRow(std::move(removed)),
              this->on_exception);
  done.wait_for(kUnregisterTimeout);
}

void PlatformThread::OnUpstreamSnapshot(
    const std::vector<platform::StoreRow>& rows) {
  this->upstreams.Replace(platform::DecodeUpstreams(rows), Now());
  this->SendUpstreamList();
}

void PlatformThread::OnUpstreamChanges(
    const std::vector<platform::StoreRow>& rows) {
  for (const platform::StoreRow& row : rows) {
    auto entry = platform::DecodeUpstreamRow(row);
    if (entry) {
      this->upstreams.Put(std::move(*entry));
    } else {
      this->upstreams.Remove(row.key, Now());
    }
  }
  this->SendUpstreamList();
}

void PlatformThread::SendUpstreamList() {
  UpstreamListUpdate listed;
  for (const policy::UpstreamEntry* entry : this->upstreams.All()) {
    listed.upstreams.push_back(ToUpstream(*entry));
  }
  http::Spawn(this->io, this->SendToRouter(PlatformMessage(std::move(listed))),
              this->on_exception);
}

void PlatformThread::OnRouterSnapshot(
    const std::vector<platform::StoreRow>& rows) {
  this->router_addresses.clear();
  this->OnRouterChanges(rows);
}

void PlatformThread::OnRouterChanges(
    const std::vector<platform::StoreRow>& rows) {
  for (const platform::StoreRow& row : rows) {
    if (row.removed) {
      this->router_addresses.erase(row.key);
    } else {
      this->router_addresses[row.key] = row.value;
    }
  }
  std::vector<std::string> addresses;
  for (const auto& [router, address] : this->router_addresses) {
    addresses.push_back(address);
  }
  this->routers.Publish(std::move(addresses));
}

void PlatformThread::RecordStoreReachability(std::string_view table,
                                             bool reachable) {
  policy::Event event;
  event.kind = reachable ? policy::EventKind::kStoreRegained
                         : policy::EventKind::kStoreLost;
  event.detail = policy::KeyValue("table", table);
  this->sink->Record(std::move(event));
}

http::Task<void> PlatformThread::PollUpstreamLoad() {
  http::Timer timer(this->io);
  while (true) {
    // Removes upstreams whose entries did not reappear after a store outage.
    if (!this->upstreams.Expire(Now()).empty()) this->SendUpstreamList();
    for (const policy::UpstreamEntry* entry : this->upstreams.All()) {
      if (!this->IsPollDue(*entry, Now())) continue;
      http::Spawn(this->io, this->FetchLoad(*entry), this->on_exception);
    }
    timer.expires_after(this->settings.poll);
    co_await timer.async_wait(http::kAwait);
  }
}

// The polls of all nodes together take at most a fixed fraction of an
// upstream's rate limit.
bool PlatformThread::IsPollDue(const policy::UpstreamEntry& entry,
                               coordination::TimePoint now) {
  const auto status = this->node_status->Read();
  if (status->withheld.contains(entry.InstanceId())) return false;
  const auto found = status->limits.find(entry.InstanceId());
  if (found == status->limits.end()) {
    this->last_polls.erase(entry.id);
    return true;
  }
  const double per_second =
      std::max(found->second, policy::RateLimits::kMinPerSecond) *
      kPolledFraction / static_cast<double>(status->fleet_size);
  const std::chrono::duration<double> interval(1 / per_second);
  auto [last, first] = this->last_polls.try_emplace(entry.id, now);
  if (first || now - last->second < interval) return false;
  last->second = now;
  return true;
}

http::Task<void> PlatformThread::FetchLoad(policy::UpstreamEntry entry) {
  const coordination::TimePoint sent_at = Now();
  const auto load = co_await platform::FetchUpstreamReport(
      this->client, entry.address, this->settings.timeout);
  if (!load) co_return;
  policy::LoadReport report;
  report.upstream = entry.id;
  report.kv_tokens = load->kv_used_tokens;
  report.capacity_tokens = load->kv_capacity_tokens;
  report.waiting = load->waiting;
  policy::UpstreamAnswer answer{entry.InstanceId(), load->rate, load->backoff,
                                sent_at};
  PlatformMessage message = LoadUpdate{std::move(report), std::move(answer)};
  co_await this->SendToRouter(std::move(message));
}

}  // namespace hornbeamspool
