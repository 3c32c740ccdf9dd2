#include "gateway/gateway.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <utility>

#include "gateway/backoff_sync.h"
#include "gateway/budget_sync.h"
#include "gateway/client_limits.h"
#include "gateway/context.h"
#include "gateway/crash_watch.h"
#include "gateway/event_log.h"
#include "gateway/head_check.h"
#include "gateway/load_monitor.h"
#include "gateway/overload_log.h"
#include "gateway/peer_channel.h"
#include "gateway/peer_tunnels.h"
#include "gateway/permit_broker.h"
#include "gateway/rate_log.h"
#include "gateway/request_relay.h"
#include "gateway/rollout_driver.h"
#include "gateway/spawn.h"
#include "gateway/token_broker.h"
#include "gateway/warmup_sync.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/error_response.h"
#include "hornbeamspool/metrics.h"
#include "http/background_task.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/documents.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using policy::KeyValue;

// The load balancer checks readiness once a second and stops sending requests
// to a VM after two failed checks.
constexpr Duration kBalancerNoticeTime = std::chrono::milliseconds(2500);

// The part of the time for a stop that is reserved for returning budgets to the
// store and exiting.
constexpr Duration kBudgetReturnTime = std::chrono::milliseconds(600);

// How often a stop checks whether requests are left.
constexpr Duration kStopPollInterval = std::chrono::milliseconds(100);

// How often the load and the expiry of upstreams are checked.
constexpr Duration kCheckInterval = std::chrono::milliseconds(500);

// Peers that get a report of upstreams' speeds at each check: four datagrams of
// up to 1,100 bytes a second.
constexpr std::size_t kSpeedReportPeers = 2;

// The checks between two reports of the sends to rate-limited upstreams.
constexpr std::int64_t kRateReportRounds = 4;

constexpr double kBytesPerMbit = 125'000;
constexpr double kBytesPerMb = 1 << 20;

std::uint64_t RandomIncarnation() {
  std::random_device random;
  return (std::uint64_t{random()} << 32U) | random();
}

policy::GatewayOptions CoreOptionsFor(
    const settings::GatewaySettings& settings) {
  policy::GatewayOptions options;
  options.vm = settings.vm;
  options.availability_zone = settings.availability_zone;
  options.retries.ratio = settings.retry_share;
  options.retries.fleet_extra = settings.retry_extra;
  options.retries.window = settings.retry_window;
  options.link_bytes_per_second =
      static_cast<std::int64_t>(settings.link_mbps * kBytesPerMbit);
  if (settings.overload_by_priority) {
    options.overload = policy::OverloadMode::kPriority;
  }
  options.memory_bytes =
      static_cast<std::int64_t>(settings.memory_mb * kBytesPerMb);
  options.exposure = {settings.exposure_share, settings.exposure_extra};
  options.warmup = {settings.warmup_overage, settings.warmup_slack};
  options.budgets.bridged_outage = settings.bridged_outage;
  return options;
}

using ZoneSet = std::set<std::string, std::less<>>;

// Applies changed rows of the operator's table to the set of evacuated zones.
ZoneSet ApplyEvacuations(ZoneSet zones,
                         const std::vector<platform::StoreRow>& rows) {
  for (const platform::StoreRow& row : rows) {
    if (!row.key.starts_with(platform::kEvacuationPrefix)) continue;
    const std::string zone = row.key.substr(platform::kEvacuationPrefix.size());
    if (row.removed) {
      zones.erase(zone);
    } else {
      zones.insert(zone);
    }
  }
  return zones;
}

}  // namespace

struct Gateway::State {
  State(settings::GatewaySettings initial_settings, Reload reload);

  std::string Listen();
  void WaitForSignal();
  void ReplaceOperatorRows(const std::vector<platform::StoreRow>& rows);
  void ApplyOperatorRows(const std::vector<platform::StoreRow>& rows);
  void SetEvacuatedZones(ZoneSet zones);
  void ApplyCallerLimits(const policy::CallerLimits& limits);
  void ApplyUpstreamRows(const std::vector<platform::StoreRow>& rows);
  void ReplaceUpstreams(const std::vector<platform::StoreRow>& rows);
  void LogStoreReachable(std::string_view table, bool reachable);
  void OnStoreRestored(std::string_view table, std::uint64_t era);
  http::ExceptionHandler ExceptionLogger(std::string name) {
    return [this, name = std::move(name)](std::string_view message) {
      LogException(this->context, name, message);
    };
  }
  bool Ready() const;
  http::Task<void> ServeReadiness(http::Exchange& exchange);
  http::Task<void> ServeMetrics(http::Exchange& exchange);
  http::Task<void> RunPeriodicChecks();
  http::Task<void> Stop();
  // Whether requests are being read or served.
  bool HasRequests() const {
    return this->core.InFlight() > 0 ||
           this->caller_server.ActiveRequests() > 0;
  }

  settings::GatewaySettings settings;
  Reload reload;
  std::uint64_t incarnation = RandomIncarnation();
  boost::asio::io_context io{1};
  EventLog log;
  Metrics metrics;
  http::Client client;
  http::Client store_http;
  platform::StoreClient store;
  policy::GatewayCore core;
  Context context;
  BudgetSync budget_sync;
  PeerChannel channel;
  PeerTunnels tunnels;
  TokenBroker broker;
  PermitBroker permits;
  CrashWatch crashes;
  BackoffSync backoff;
  WarmupSync warmup;
  RolloutDriver rollout_driver;
  std::shared_ptr<http::ClientMemory> client_memory;
  http::Server caller_server;
  http::Server readiness_server;
  http::Server metrics_server;
  platform::TableFollower operator_table;
  platform::TableFollower upstream_table;
  boost::asio::signal_set signals;
  LoadMonitor load;
  OverloadLog overload_log;
  bool stopping = false;
  bool upstreams_loaded = false;
  bool operator_restored = false;  // its table was, and is to be read again
};

Gateway::State::State(settings::GatewaySettings initial_settings, Reload reload)
    : settings(std::move(initial_settings)),
      reload(std::move(reload)),
      log(this->settings.vm, this->settings.log_level),
      client(this->io),
      store_http(this->io),
      store(this->store_http, this->settings.store_address),
      core(CoreOptionsFor(this->settings), {this->incarnation, Now()}),
      context{&this->io,          &this->core,    &this->client,
              &this->budget_sync, &this->broker,  &this->channel,
              &this->tunnels,     &this->permits, &this->crashes,
              &this->backoff,     &this->warmup,  &this->log,
              &this->metrics},
      budget_sync(this->context, this->store, this->settings.vm),
      channel(this->context, this->store, this->settings.vm,
              this->settings.peer_address,
              {[this](const transport::BudgetMessage& message) {
                 this->broker.OnMessage(message);
               },
               [this](const transport::CrashMessage& message) {
                 this->crashes.OnMessage(message);
               },
               [this](const transport::PrefillMessage& message) {
                 this->core.Selector().OnPeerPrefill(
                     message.upstream, message.prefill_tokens, Now());
               },
               [this](const policy::RateMessage& message) {
                 this->permits.OnMessage(message);
               },
               [this](std::span<const policy::PoisonPartRecord> records) {
                 this->crashes.OnPartRecords(records);
               },
               [this](const transport::BackoffMessage& message) {
                 this->backoff.OnMessage(message, Now());
               },
               [this](const policy::SpeedMessage& message) {
                 this->metrics.Add(Counter::kSpeedReports);
                 this->metrics.Add(
                     Counter::kSpeedNotices,
                     this->core.Selector().OnPeerReport(message, Now()));
               }}),
      tunnels(this->context, this->settings.peer_address,
              MaxTunnels(this->settings)),
      broker(this->context, this->channel, this->incarnation),
      permits(this->context, this->channel, this->settings.vm,
              this->incarnation),
      crashes(this->context, this->store, this->settings.vm),
      backoff(this->context),
      warmup(this->context),
      rollout_driver(this->context, this->store, this->channel),
      client_memory(MakeClientMemory(this->io, this->settings)),
      caller_server(
          this->io, CallerServerLimits(this->settings, {}),
          [this](http::Exchange& exchange) {
            return ServeRequest(this->context, exchange);
          },
          &RejectResponse, this->ExceptionLogger("callers"),
          this->client_memory),
      readiness_server(
          this->io, InternalServerLimits(),
          [this](http::Exchange& exchange) {
            return this->ServeReadiness(exchange);
          },
          &RejectResponse, this->ExceptionLogger("readiness"),
          this->client_memory),
      metrics_server(
          this->io, InternalServerLimits(),
          [this](http::Exchange& exchange) {
            return this->ServeMetrics(exchange);
          },
          &RejectResponse, this->ExceptionLogger("metrics"),
          this->client_memory),
      operator_table(
          this->io, this->store, std::string(platform::kOperatorTable),
          {[this](const auto& rows) { this->ReplaceOperatorRows(rows); },
           [this](const auto& rows) { this->ApplyOperatorRows(rows); },
           [this](bool reachable) {
             this->core.SetConfigConfirmed(reachable &&
                                           !this->operator_restored);
             this->LogStoreReachable(platform::kOperatorTable, reachable);
           },
           [this](std::string_view error) {
             LogException(this->context, platform::kOperatorTable, error);
           },
           [this](std::uint64_t era) {
             this->OnStoreRestored(platform::kOperatorTable, era);
           }}),
      upstream_table(
          this->io, this->store, std::string(platform::kUpstreamTable),
          {[this](const auto& rows) { this->ReplaceUpstreams(rows); },
           [this](const auto& rows) { this->ApplyUpstreamRows(rows); },
           [this](bool reachable) {
             this->core.Upstreams().SetReachable(reachable, Now());
             this->LogStoreReachable(platform::kUpstreamTable, reachable);
           },
           [this](std::string_view error) {
             LogException(this->context, platform::kUpstreamTable, error);
           },
           [this](std::uint64_t era) {
             this->OnStoreRestored(platform::kUpstreamTable, era);
           },
           [this](const auto& rows) {
             const auto entries = platform::DecodeUpstreams(rows);
             this->core.Upstreams().Merge(entries, Now());
             this->warmup.OnRegistered(entries, Now());
           }}),
      signals(this->io, SIGTERM, SIGINT, SIGHUP),
      load(this->context, this->caller_server, this->settings.descriptors),
      overload_log(this->context) {
  this->caller_server.SetRejectObserver(MakeRejectObserver(this->context));
  // Without it the server doesn't copy the heads of requests.
  if (!this->core.Overload().Enabled()) return;
  this->caller_server.SetHeadHandler(
      [this](const http::Request& head,
             std::uint64_t body_bytes) -> std::optional<http::Response> {
        const auto refusal =
            RefuseByHead(this->context, head, body_bytes, Now());
        if (!refusal) return std::nullopt;
        this->metrics.Add(Counter::kRequests);
        this->metrics.Add(Counter::kRefusals);
        return RefusalResponse(*refusal);
      });
}

void Gateway::State::ApplyCallerLimits(const policy::CallerLimits& limits) {
  this->caller_server.SetLimits(CallerServerLimits(this->settings, limits));
  const std::string fault = FindContradiction(this->settings, limits);
  if (fault.empty()) return;
  this->log.Write(LogKind::kConfig, KeyValue("fault", fault), Now());
}

// Takes all rows of the operator's table. An evacuation that is not among them
// has been withdrawn.
void Gateway::State::ReplaceOperatorRows(
    const std::vector<platform::StoreRow>& rows) {
  this->operator_restored = false;
  this->core.SetConfigConfirmed(true);
  this->SetEvacuatedZones(ApplyEvacuations({}, rows));
  this->ApplyOperatorRows(rows);
}

void Gateway::State::SetEvacuatedZones(ZoneSet zones) {
  if (zones == this->core.Upstreams().EvacuatedZones()) return;
  std::string list;
  for (const std::string& zone : zones) {
    if (!list.empty()) list += ',';
    list += zone;
  }
  this->core.Upstreams().SetEvacuatedZones(std::move(zones));
  this->log.Write(LogKind::kConfig, KeyValue("evacuated_zones", list), Now());
}

void Gateway::State::ApplyOperatorRows(
    const std::vector<platform::StoreRow>& rows) {
  this->SetEvacuatedZones(
      ApplyEvacuations(this->core.Upstreams().EvacuatedZones(), rows));
  for (const platform::StoreRow& row : rows) {
    if (row.key.starts_with(platform::kRolloutPrefix)) {
      this->rollout_driver.OnOrder(row);
    }
    if (row.key != platform::kConfigKey || row.removed) continue;
    std::string error;
    std::optional<policy::GatewayConfig> config =
        platform::DecodeConfig(row.value, error);
    if (!config) {
      this->log.Write(
          LogKind::kConfig,
          KeyValue("outcome", "unreadable") + ' ' + KeyValue("fault", error),
          Now());
      continue;
    }
    const auto version = static_cast<std::int64_t>(config->version);
    const auto routes = static_cast<std::int64_t>(config->routes.size());
    std::int64_t prepaid = 0;
    for (const policy::GatewayOrganisation& organisation :
         config->organisations) {
      prepaid += organisation.prepaid.value_or(0);
    }
    if (!this->core.SetConfig(std::move(*config))) continue;
    this->ApplyCallerLimits(this->core.Table()->Config().limits);
    // Draw the home's share of new budgets at once.
    this->broker.RefreshHomes();
    this->budget_sync.WakeNow();
    this->log.Write(LogKind::kConfig,
                    KeyValue("outcome", "in_force") + ' ' +
                        KeyValue("version", version) + ' ' +
                        KeyValue("routes", routes) + ' ' +
                        KeyValue("prepaid", prepaid),
                    Now());
  }
}

void Gateway::State::ApplyUpstreamRows(
    const std::vector<platform::StoreRow>& rows) {
  const TimePoint now = Now();
  for (const platform::StoreRow& row : rows) {
    auto entry = platform::DecodeUpstreamRow(row);
    std::string fields = KeyValue("upstream", row.key);
    if (!entry) {
      this->core.OnUpstreamRemoved(row.key, now);
      this->core.Upstreams().Remove(row.key, now);
      if (this->core.Upstreams().Find(row.key) == nullptr) {
        this->core.Selector().Forget(row.key);
      }
      fields += ' ' + KeyValue("state", row.removed ? "removed" : "unreadable");
    } else {
      const policy::UpstreamEntry* before =
          this->core.Upstreams().Find(row.key);
      const bool restarted =
          before && before->start_time_ms != entry->start_time_ms;
      if (restarted) {
        this->core.OnUpstreamDown(*before, now);
        this->core.Selector().Forget(row.key);
      }
      fields += ' ' + KeyValue("service", entry->service);
      fields += ' ' + KeyValue("state", entry->draining ? "draining" : "ready");
      fields += ' ' + KeyValue("version", entry->version);
      this->core.Upstreams().Put(*entry);
      this->warmup.OnRegistered(std::span(&*entry, 1), now);
    }
    this->log.Write(LogKind::kUpstream, fields, now);
  }
}

void Gateway::State::ReplaceUpstreams(
    const std::vector<platform::StoreRow>& rows) {
  std::vector<policy::UpstreamEntry> entries = platform::DecodeUpstreams(rows);
  this->log.Write(
      LogKind::kUpstream,
      KeyValue("listed", static_cast<std::int64_t>(rows.size())) + ' ' +
          KeyValue("usable", static_cast<std::int64_t>(entries.size())),
      Now());
  this->core.Upstreams().Replace(entries, Now());
  this->warmup.OnRegistered(entries, Now());
  this->upstreams_loaded = true;
}

void Gateway::State::LogStoreReachable(std::string_view table, bool reachable) {
  this->log.Write(LogKind::kDependency,
                  KeyValue("store", reachable ? "regained" : "lost") + ' ' +
                      KeyValue("table", table),
                  Now());
}

void Gateway::State::OnStoreRestored(std::string_view table,
                                     std::uint64_t era) {
  this->log.Write(LogKind::kDependency,
                  KeyValue("store", "restored") + ' ' +
                      KeyValue("table", table) + ' ' +
                      KeyValue("era", static_cast<std::int64_t>(era)),
                  Now());
  this->budget_sync.OnEra(era);
  if (table != platform::kOperatorTable) return;
  // Until the operator has written again, what the store holds may be older
  // than what callers know.
  this->operator_restored = true;
  this->core.SetConfigConfirmed(false);
  this->rollout_driver.OnRestored();
  this->channel.OnRestored();
  this->crashes.OnRestored();
}

bool Gateway::State::Ready() const {
  return !this->stopping && !this->load.Overloaded() &&
         this->core.Table() != nullptr && this->upstreams_loaded &&
         this->rollout_driver.Ready() && this->crashes.Ready() &&
         this->channel.Ready();
}

http::Task<void> Gateway::State::ServeReadiness(http::Exchange& exchange) {
  http::Response response;
  response.status = 404;
  if (exchange.GetRequest().Path() == this->settings.readiness_path) {
    response.status = this->Ready() ? 200 : 503;
  }
  co_await exchange.Send(std::move(response));
}

http::Task<void> Gateway::State::ServeMetrics(http::Exchange& exchange) {
  http::Response response;
  response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  response.body = this->metrics.Text();
  co_await exchange.Send(std::move(response));
}

http::Task<void> Gateway::State::RunPeriodicChecks() {
  http::Timer timer(this->io);
  std::int64_t rounds = 0;
  while (true) {
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(http::kAwait);
    this->load.Update(std::chrono::duration_cast<Duration>(
                          std::chrono::steady_clock::now() - timer.expiry()),
                      Now());
    this->tunnels.Check(Now());
    this->crashes.Expire();
    this->crashes.PublishNotices();
    this->backoff.RepeatNotices(Now());
    this->warmup.Expire(Now());
    this->metrics.Add(
        Counter::kSpeedReportsSent,
        this->channel.SendToSome(this->core.Selector().ReportForPeers(Now()),
                                 kSpeedReportPeers));
    this->metrics.SetUpstreamSpeeds(this->core.Selector().AllSpeeds(Now()));
    if (++rounds % kRateReportRounds == 0) {
      ReportRates(this->context, Now());
      this->overload_log.Report(Now());
      this->metrics.SetOverload(this->core.Overload().Counters());
    }
    for (const std::string& id : this->core.ExpireUpstreams(Now())) {
      this->log.Write(
          LogKind::kUpstream,
          KeyValue("upstream", id) + ' ' + KeyValue("state", "not_back"),
          Now());
    }
  }
}

std::string Gateway::State::Listen() {
  std::string error;
  if (this->readiness_server.Listen(this->settings.readiness_address) == 0) {
    return "cannot listen on " + this->settings.readiness_address;
  }
  if (this->caller_server.Listen(this->settings.listen_address) == 0) {
    return "cannot listen on " + this->settings.listen_address;
  }
  if (!this->settings.metrics_address.empty() &&
      this->metrics_server.Listen(this->settings.metrics_address) == 0) {
    return "cannot listen on " + this->settings.metrics_address;
  }
  error = this->tunnels.Start();
  return error.empty() ? this->channel.Start() : error;
}

void Gateway::State::WaitForSignal() {
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) return;
        if (signal == SIGHUP) {
          const auto reloaded = this->reload();
          this->log.Write(LogKind::kReloaded,
                          KeyValue("outcome", reloaded ? "read" : "unreadable"),
                          Now());
          if (reloaded) {
            this->settings.shutdown_timeout = reloaded->shutdown_timeout;
          }
          this->WaitForSignal();
          return;
        }
        Spawn(this->context, "stop", this->Stop(), [this] { this->io.stop(); });
      });
}

// Step 1: report not ready and close each connection after its answer. Step 2:
// once the load balancer has noticed, accept no new connections. Step 3: wait
// for requests in progress. Step 4: return unspent tokens to the store.
http::Task<void> Gateway::State::Stop() {
  const TimePoint begin = Now();
  const TimePoint end =
      begin + this->settings.shutdown_timeout - kBudgetReturnTime;
  this->stopping = true;
  this->load.Stop();
  this->log.Write(
      LogKind::kStopping,
      KeyValue("in_flight", static_cast<std::int64_t>(this->core.InFlight())),
      begin);
  this->caller_server.DisableKeepAlive(true);
  this->broker.StopActingAsHome();
  Spawn(this->context, "leave", this->channel.Unregister());
  http::Timer timer(this->io);
  timer.expires_after(kBalancerNoticeTime);
  co_await timer.async_wait(http::kAwait);
  this->caller_server.Drain();
  // Wait at least once: requests that had arrived when the listener closed are
  // read during that time.
  do {
    timer.expires_after(kStopPollInterval);
    co_await timer.async_wait(http::kAwait);
  } while (this->HasRequests() && Now() < end);
  this->core.Budgets().BeginStop();
  this->broker.ReturnGifts();
  const TimePoint last = end + kBudgetReturnTime / 2;
  while (Now() < last &&
         (this->HasRequests() || !this->core.Budgets().AllReturned())) {
    this->budget_sync.WakeNow();
    timer.expires_after(kStopPollInterval / 5);
    co_await timer.async_wait(http::kAwait);
  }
  this->log.Write(
      LogKind::kStopped,
      KeyValue("in_flight", static_cast<std::int64_t>(this->core.InFlight())),
      Now());
  this->io.stop();
}

Gateway::Gateway(settings::GatewaySettings settings, Reload reload)
    : state(std::make_unique<State>(std::move(settings), std::move(reload))) {}

Gateway::~Gateway() = default;

std::string Gateway::Run() {
  State& state = *this->state;
  std::string error = state.Listen();
  if (!error.empty()) return error;
  state.log.Write(LogKind::kStarted,
                  KeyValue("listen", state.settings.listen_address) + ' ' +
                      KeyValue("store", state.settings.store_address),
                  Now());
  state.WaitForSignal();
  state.operator_table.Start();
  state.upstream_table.Start();
  state.budget_sync.Start();
  state.broker.Start();
  state.permits.Start();
  state.crashes.Start();
  state.backoff.Start();
  SpawnBackgroundTask(state.context, "upstreams",
                      [&state] { return state.RunPeriodicChecks(); });
  http::RunEventLoop(state.io, state.ExceptionLogger("event_loop"));
  return {};
}

}  // namespace hornbeamspool::gateway
