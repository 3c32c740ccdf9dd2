#include "hornbeamspool/platform_thread.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>

#include "hornbeamspool/clock.h"
#include "hornbeamspool/ledger_rows.h"
#include "http/task.h"
#include "platform/documents.h"
#include "platform/own_row.h"
#include "platform/upstream_load.h"
#include "settings/fleet_settings.h"
#include "settings/settings_error.h"

namespace hornbeamspool {
namespace {

namespace net = boost::asio;

constexpr std::size_t kCommandCapacity = 4096;
// How long a message waits for room in a full ring before the next look.
constexpr coordination::Duration kRingRetry = std::chrono::milliseconds(2);

// The routers, by name: where each takes heartbeats.
constexpr std::string_view kRouterTable = "routers";

// Pause before the own row is tried again.
constexpr coordination::Duration kRegisterPause =
    std::chrono::milliseconds(300);

// A stop waits this long for the own row to go: a row that stays costs the
// peers a few heartbeats, no more.
constexpr std::chrono::milliseconds kLeaveLimit{500};

policy::ListedUpstream ToUpstream(const policy::UpstreamEntry& entry) {
  return policy::ListedUpstream{entry.id,      entry.service,
                                entry.version, entry.availability_zone,
                                entry.address, entry.draining};
}

}  // namespace

PlatformThread::PlatformThread(const settings::NodeSettings& settings,
                               std::string holder, Metrics& metrics,
                               EventSink& sink)
    : settings(settings.platform),
      name(settings.name),
      peer_address(settings.peers.address),
      sink(&sink),
      work(net::make_work_guard(this->io)),
      config_timer(this->io),
      command_wakeup(this->io,
                     [this] {
                       this->commands.Drain([this](policy::TableCommand c) {
                         net::co_spawn(this->io,
                                       this->CarryCommand(std::move(c)),
                                       net::detached);
                       });
                     }),
      epoch_wakeup(this->io, [this] { this->config_timer.cancel(); }),
      commands(kCommandCapacity, [this] { this->command_wakeup.Notify(); }),
      client(this->io),
      store(this->client, this->settings.store, this->settings.timeout),
      table(this->store, std::string(rows::kTable)),
      upstream_table(
          this->io, this->store, std::string(platform::kUpstreamTable),
          {[this](const auto& rows) { this->OnAllUpstreams(rows); },
           [this](const auto& rows) { this->OnUpstreams(rows); },
           [this](bool reachable) {
             this->upstreams.SetReachable(reachable, Now());
             this->RecordReachable(platform::kUpstreamTable, reachable);
           }}),
      router_table(this->io, this->store, std::string(kRouterTable),
                   {[this](const auto& rows) { this->OnAllRouters(rows); },
                    [this](const auto& rows) { this->OnRouters(rows); },
                    [this](bool reachable) {
                      this->RecordReachable(kRouterTable, reachable);
                    }}),
      worker(this->table, std::move(holder), metrics) {}

PlatformThread::~PlatformThread() { this->Stop(); }

void PlatformThread::Start(Ring<PlatformMessage>& to_decisions) {
  this->to_decisions = &to_decisions;
  net::co_spawn(this->io, this->PollConfig(), net::detached);
  net::co_spawn(this->io, this->Register(), net::detached);
  net::co_spawn(this->io, this->WatchUpstreams(), net::detached);
  this->upstream_table.Start();
  this->router_table.Start();
  this->thread = std::thread([this] { this->io.run(); });
}

void PlatformThread::Stop() {
  this->io.stop();
  if (this->thread.joinable()) this->thread.join();
}

void PlatformThread::NoteEpoch(std::uint64_t epoch) {
  if (epoch <= this->peers_epoch.load()) return;
  this->peers_epoch = epoch;
  this->epoch_wakeup.Notify();
}

http::Task<void> PlatformThread::CarryCommand(policy::TableCommand command) {
  PlatformMessage message = co_await this->worker.Carry(std::move(command));
  co_await this->Deliver(std::move(message));
}

// A full ring delays what the platform said; nothing is dropped.
http::Task<void> PlatformThread::Deliver(PlatformMessage message) {
  http::Timer timer(this->io);
  while (this->to_decisions->Room() == 0) {
    timer.expires_after(kRingRetry);
    co_await timer.async_wait(http::kAwait);
  }
  this->to_decisions->Push(std::move(message));
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
  std::string fault_text;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(config, settings::ParseFleetConfig(*text));
        return {};
      },
      [&](const settings::SettingsErrorList& faults) {
        fault_text = faults.front().where + ": " + faults.front().message;
      },
      [&] { fault_text = "unknown fault"; });
  if (!config) {
    policy::Event event;
    event.kind = policy::EventKind::kConfigRefused;
    event.detail = policy::KeyValue("fault", fault_text);
    this->sink->Record(std::move(event));
    co_return;
  }
  this->config_epoch = epoch;
  PlatformMessage message = ConfigRead{epoch, std::move(*config)};
  co_await this->Deliver(std::move(message));
}

http::Task<void> PlatformThread::Register() {
  http::Timer timer(this->io);
  while (!co_await platform::WriteOwnRow(this->store, std::string(kRouterTable),
                                         this->name, this->peer_address)) {
    timer.expires_after(kRegisterPause);
    co_await timer.async_wait(http::kAwait);
  }
}

http::Task<void> PlatformThread::RemoveRegistration(
    std::shared_ptr<std::promise<void>> removed) {
  co_await platform::RemoveOwnRow(this->store, std::string(kRouterTable),
                                  this->name);
  removed->set_value();
}

void PlatformThread::Leave() {
  auto removed = std::make_shared<std::promise<void>>();
  auto done = removed->get_future();
  net::co_spawn(this->io, this->RemoveRegistration(std::move(removed)),
                net::detached);
  done.wait_for(kLeaveLimit);
}

void PlatformThread::OnAllUpstreams(
    const std::vector<platform::StoreRow>& rows) {
  this->upstreams.Replace(platform::DecodeUpstreams(rows), Now());
  this->TellUpstreams();
}

void PlatformThread::OnUpstreams(const std::vector<platform::StoreRow>& rows) {
  for (const platform::StoreRow& row : rows) {
    auto entry = platform::DecodeUpstreamRow(row);
    if (entry) {
      this->upstreams.Put(std::move(*entry));
    } else {
      this->upstreams.Remove(row.key, Now());
    }
  }
  this->TellUpstreams();
}

void PlatformThread::TellUpstreams() {
  UpstreamsListed listed;
  for (const policy::UpstreamEntry* entry : this->upstreams.All()) {
    listed.upstreams.push_back(ToUpstream(*entry));
  }
  net::co_spawn(this->io, this->Deliver(PlatformMessage(std::move(listed))),
                net::detached);
}

void PlatformThread::OnAllRouters(const std::vector<platform::StoreRow>& rows) {
  this->router_addresses.clear();
  this->OnRouters(rows);
}

void PlatformThread::OnRouters(const std::vector<platform::StoreRow>& rows) {
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

void PlatformThread::RecordReachable(std::string_view table, bool reachable) {
  policy::Event event;
  event.kind = reachable ? policy::EventKind::kStoreRegained
                         : policy::EventKind::kStoreLost;
  event.detail = policy::KeyValue("table", table);
  this->sink->Record(std::move(event));
}

http::Task<void> PlatformThread::WatchUpstreams() {
  http::Timer timer(this->io);
  while (true) {
    // Entries whose upstreams did not come back after the store's return.
    if (!this->upstreams.Expire(Now()).empty()) this->TellUpstreams();
    for (const policy::UpstreamEntry* entry : this->upstreams.All()) {
      net::co_spawn(this->io, this->ReadLoad(entry->id, entry->address),
                    net::detached);
    }
    timer.expires_after(this->settings.poll);
    co_await timer.async_wait(http::kAwait);
  }
}

http::Task<void> PlatformThread::ReadLoad(std::string upstream,
                                          std::string address) {
  const auto load = co_await platform::FetchUpstreamLoad(
      this->client, std::move(address), this->settings.timeout);
  if (!load) co_return;
  policy::LoadReport report;
  report.upstream = std::move(upstream);
  report.kv_tokens = load->kv_tokens;
  report.capacity_tokens = load->capacity_tokens;
  report.waiting = load->waiting;
  PlatformMessage message = LoadRead{std::move(report)};
  co_await this->Deliver(std::move(message));
}

}  // namespace hornbeamspool
