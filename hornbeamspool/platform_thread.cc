#include "hornbeamspool/platform_thread.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>

#include "hornbeamspool/ledger_rows.h"
#include "http/task.h"
#include "platform/upstream_load.h"
#include "settings/fault.h"
#include "settings/fleet_settings.h"

namespace hornbeamspool {
namespace {

namespace net = boost::asio;

constexpr std::size_t kCommandCapacity = 4096;
// How long a message waits for room in a full ring before the next look.
constexpr coordination::Duration kRingRetry = std::chrono::milliseconds(2);

policy::ListedUpstream ToUpstream(const platform::ListedVm& vm) {
  return policy::ListedUpstream{vm.name,    vm.service,
                                vm.version, vm.availability_zone,
                                vm.address, vm.leaving};
}

}  // namespace

PlatformThread::PlatformThread(const settings::PlatformSettings& settings,
                               std::string holder, Metrics& metrics,
                               EventSink& sink)
    : settings(settings),
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
      table(this->client, settings.table, settings.timeout),
      objects(this->client, settings.objects, settings.timeout),
      worker(this->table, std::move(holder), metrics) {}

PlatformThread::~PlatformThread() { this->Stop(); }

void PlatformThread::Start(Ring<PlatformMessage>& to_decisions) {
  this->to_decisions = &to_decisions;
  net::co_spawn(this->io, this->PollConfig(), net::detached);
  net::co_spawn(this->io, this->PollVms(), net::detached);
  net::co_spawn(this->io, this->PollLoads(), net::detached);
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
  const auto text = co_await this->objects.Get(row.item->Text("object"));
  if (!text) co_return;
  std::optional<policy::FleetConfig> config;
  std::string fault_text;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(config, settings::ParseFleetConfig(*text));
        return {};
      },
      [&](const settings::FaultList& faults) {
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

http::Task<void> PlatformThread::PollVms() {
  http::Timer timer(this->io);
  while (true) {
    auto list = co_await platform::FetchVmList(this->client, this->settings.vms,
                                               this->settings.timeout);
    if (list) {
      UpstreamsListed listed;
      std::vector<platform::ListedVm> next_routers;
      this->upstreams.clear();
      for (platform::ListedVm& vm : *list) {
        if (vm.service == platform::kRouterService) {
          next_routers.push_back(std::move(vm));
          continue;
        }
        listed.upstreams.push_back(ToUpstream(vm));
        this->upstreams.push_back(std::move(vm));
      }
      this->routers.Publish(std::move(next_routers));
      PlatformMessage message = std::move(listed);
      co_await this->Deliver(std::move(message));
    }
    timer.expires_after(this->settings.poll);
    co_await timer.async_wait(http::kAwait);
  }
}

http::Task<void> PlatformThread::PollLoads() {
  http::Timer timer(this->io);
  while (true) {
    for (const platform::ListedVm& vm : this->upstreams) {
      net::co_spawn(this->io, this->ReadLoad(vm), net::detached);
    }
    timer.expires_after(this->settings.poll);
    co_await timer.async_wait(http::kAwait);
  }
}

http::Task<void> PlatformThread::ReadLoad(platform::ListedVm vm) {
  const auto load = co_await platform::FetchUpstreamLoad(
      this->client, vm.address, this->settings.timeout);
  if (!load) co_return;
  policy::LoadReport report;
  report.upstream = vm.name;
  report.held_tokens = load->held_tokens;
  report.capacity_tokens = load->capacity_tokens;
  report.waiting = load->waiting;
  PlatformMessage message = LoadRead{std::move(report)};
  co_await this->Deliver(std::move(message));
}

}  // namespace hornbeamspool
