#include "gateway/gateway.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "gateway/budget_keeper.h"
#include "gateway/context.h"
#include "gateway/crash_watch.h"
#include "gateway/event_log.h"
#include "gateway/move_driver.h"
#include "gateway/peer_channel.h"
#include "gateway/request_relay.h"
#include "gateway/spawn.h"
#include "gateway/token_broker.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/error_response.h"
#include "hornbeamspool/metrics.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/documents.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "policy/event.h"
#include "policy/gateway_core.h"
#include "policy/lag_meter.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using policy::KeyValue;

// The balancer asks once a second and leaves a VM out after two misses.
constexpr Duration kLeftOutAfter = std::chrono::milliseconds(2500);

// Of the time for a stop: kept for handing budgets back and for leaving.
constexpr Duration kStopMargin = std::chrono::milliseconds(600);

constexpr Duration kLook = std::chrono::milliseconds(100);

// Upstreams whose doubt has passed are forgotten this often.
constexpr Duration kExpireEvery = std::chrono::milliseconds(500);

// Descriptors for files, the store and the balancer.
constexpr std::int64_t kOwnDescriptors = 200;

constexpr double kBytesPerMbit = 125'000;
constexpr double kBytesPerMb = 1 << 20;

std::uint64_t RandomIncarnation() {
  std::random_device random;
  return (std::uint64_t{random()} << 32U) | random();
}

policy::GatewayOptions OptionsOf(const settings::GatewaySettings& settings) {
  policy::GatewayOptions options;
  options.availability_zone = settings.availability_zone;
  options.retries.share = settings.retry_share;
  options.retries.extra = settings.retry_extra;
  options.retries.window = settings.retry_window;
  options.link_bytes_per_second =
      static_cast<std::int64_t>(settings.link_mbps * kBytesPerMbit);
  options.memory_bytes =
      static_cast<std::int64_t>(settings.memory_mb * kBytesPerMb);
  options.budgets.bridged_outage = settings.bridged_outage;
  return options;
}

using ZoneSet = std::set<std::string, std::less<>>;

// The zones to be emptied after these rows of the operator, of those before.
ZoneSet EvacuatedAfter(ZoneSet zones,
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
  State(settings::GatewaySettings given, Reload reload);

  std::string Listen();
  void FollowSignals();
  void OnAllOperatorRows(const std::vector<platform::StoreRow>& rows);
  void OnOperatorRows(const std::vector<platform::StoreRow>& rows);
  void SetEvacuatedZones(ZoneSet zones);
  void OnUpstreamRows(const std::vector<platform::StoreRow>& rows);
  void OnAllUpstreams(const std::vector<platform::StoreRow>& rows);
  void OnStore(std::string_view table, bool reachable);
  bool Ready() const;
  http::Task<void> AnswerReadiness(http::Exchange& exchange);
  http::Task<void> AnswerMetrics(http::Exchange& exchange);
  void LookAtLoad(Duration lateness);
  http::Task<void> ExpireUpstreams();
  http::Task<void> Stop();
  // Requests that are being read or served.
  bool HasRequests() const {
    return this->core.InFlight() > 0 || this->callers.OpenRequests() > 0;
  }
  http::ServerLimits LimitsOf(const policy::CallerLimits& limits) const;

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
  BudgetKeeper keeper;
  PeerChannel channel;
  TokenBroker broker;
  CrashWatch crashes;
  MoveDriver mover;
  http::Server callers;
  http::Server readiness;
  http::Server metrics_page;
  platform::TableFollower operator_table;
  platform::TableFollower upstream_table;
  boost::asio::signal_set signals;
  policy::LagMeter lag;
  bool stopping = false;
  bool crowded = false;  // callers are led to other VMs
  bool upstreams_known = false;
};

Gateway::State::State(settings::GatewaySettings given, Reload reload)
    : settings(std::move(given)),
      reload(std::move(reload)),
      log(this->settings.vm, this->settings.log_level),
      client(this->io),
      store_http(this->io),
      store(this->store_http, this->settings.store_address),
      core(OptionsOf(this->settings), {this->incarnation, Now()}),
      context{&this->io,      &this->core,   &this->client,
              &this->keeper,  &this->broker, &this->channel,
              &this->crashes, &this->log,    &this->metrics},
      keeper(this->context, this->store, this->settings.vm),
      channel(this->context, this->store, this->settings.vm,
              this->settings.peer_address,
              {[this](const transport::BudgetMessage& message) {
                 this->broker.OnMessage(message);
               },
               [this](const transport::CrashMessage& message) {
                 this->crashes.OnMessage(message);
               },
               [this](const transport::PromptMessage& message) {
                 this->core.Selector().OnPeerPrompt(
                     message.upstream, message.prefill_tokens, Now());
               }}),
      broker(this->context, this->channel, this->incarnation),
      crashes(this->context, this->store, this->settings.vm),
      mover(this->context, this->store, this->channel),
      callers(
          this->io, this->LimitsOf({}),
          [this](http::Exchange& exchange) {
            return ServeRequest(this->context, exchange);
          },
          &RejectResponse),
      readiness(
          this->io, http::ServerLimits{},
          [this](http::Exchange& exchange) {
            return this->AnswerReadiness(exchange);
          },
          &RejectResponse),
      metrics_page(
          this->io, http::ServerLimits{},
          [this](http::Exchange& exchange) {
            return this->AnswerMetrics(exchange);
          },
          &RejectResponse),
      operator_table(
          this->io, this->store, std::string(platform::kOperatorTable),
          {[this](const auto& rows) { this->OnAllOperatorRows(rows); },
           [this](const auto& rows) { this->OnOperatorRows(rows); },
           [this](bool reachable) {
             this->core.SetConfigConfirmed(reachable);
             this->OnStore(platform::kOperatorTable, reachable);
           },
           [this](std::string_view fault) {
             LogFault(this->context, platform::kOperatorTable, fault);
           }}),
      upstream_table(
          this->io, this->store, std::string(platform::kUpstreamTable),
          {[this](const auto& rows) { this->OnAllUpstreams(rows); },
           [this](const auto& rows) { this->OnUpstreamRows(rows); },
           [this](bool reachable) {
             this->core.Upstreams().SetReachable(reachable, Now());
             this->OnStore(platform::kUpstreamTable, reachable);
           },
           [this](std::string_view fault) {
             LogFault(this->context, platform::kUpstreamTable, fault);
           }}),
      signals(this->io, SIGTERM, SIGINT, SIGHUP) {}

http::ServerLimits Gateway::State::LimitsOf(
    const policy::CallerLimits& limits) const {
  http::ServerLimits own;
  own.header_timeout = limits.header_timeout;
  own.idle_timeout = limits.idle_timeout;
  own.header_bytes = static_cast<std::uint32_t>(limits.header_bytes);
  own.body_bytes = static_cast<std::uint64_t>(limits.body_bytes);
  // A request may need a connection to an upstream besides its caller's.
  own.connections = static_cast<std::size_t>(std::max<std::int64_t>(
      16, (this->settings.descriptors - kOwnDescriptors) / 2));
  return own;
}

// An order that is not among all rows has been taken back.
void Gateway::State::OnAllOperatorRows(
    const std::vector<platform::StoreRow>& rows) {
  this->SetEvacuatedZones(EvacuatedAfter({}, rows));
  this->OnOperatorRows(rows);
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

void Gateway::State::OnOperatorRows(
    const std::vector<platform::StoreRow>& rows) {
  this->SetEvacuatedZones(
      EvacuatedAfter(this->core.Upstreams().EvacuatedZones(), rows));
  for (const platform::StoreRow& row : rows) {
    if (row.key.starts_with(platform::kMovePrefix)) this->mover.OnOrder(row);
    if (row.key != platform::kConfigKey || row.removed) continue;
    std::string fault;
    std::optional<policy::GatewayConfig> config =
        platform::DecodeConfig(row.value, fault);
    if (!config) {
      this->log.Write(
          LogKind::kConfig,
          KeyValue("outcome", "unreadable") + ' ' + KeyValue("fault", fault),
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
    this->callers.SetLimits(
        this->LimitsOf(this->core.Table()->Config().limits));
    // New budgets get their home's share at once.
    this->broker.LookAtHomes();
    this->keeper.Kick();
    this->log.Write(LogKind::kConfig,
                    KeyValue("outcome", "in_force") + ' ' +
                        KeyValue("version", version) + ' ' +
                        KeyValue("routes", routes) + ' ' +
                        KeyValue("prepaid", prepaid),
                    Now());
  }
}

void Gateway::State::OnUpstreamRows(
    const std::vector<platform::StoreRow>& rows) {
  const TimePoint now = Now();
  for (const platform::StoreRow& row : rows) {
    auto entry = platform::DecodeUpstreamRow(row);
    std::string pairs = KeyValue("upstream", row.key);
    if (!entry) {
      this->core.OnUpstreamRemoved(row.key, now);
      this->core.Upstreams().Remove(row.key, now);
      pairs += ' ' + KeyValue("state", row.removed ? "removed" : "unreadable");
    } else {
      const policy::UpstreamEntry* before =
          this->core.Upstreams().Find(row.key);
      const bool reborn =
          before && before->start_time_ms != entry->start_time_ms;
      if (reborn) {
        this->core.OnUpstreamDown(*before, now);
        this->core.Selector().Forget(row.key);
      }
      pairs += ' ' + KeyValue("service", entry->service);
      pairs += ' ' + KeyValue("state", entry->draining ? "draining" : "ready");
      pairs += ' ' + KeyValue("version", entry->version);
      this->core.Upstreams().Put(std::move(*entry));
    }
    this->log.Write(LogKind::kUpstream, pairs, now);
  }
}

void Gateway::State::OnAllUpstreams(
    const std::vector<platform::StoreRow>& rows) {
  std::vector<policy::UpstreamEntry> entries = platform::DecodeUpstreams(rows);
  this->log.Write(
      LogKind::kUpstream,
      KeyValue("listed", static_cast<std::int64_t>(rows.size())) + ' ' +
          KeyValue("usable", static_cast<std::int64_t>(entries.size())),
      Now());
  this->core.Upstreams().Replace(std::move(entries), Now());
  this->upstreams_known = true;
}

void Gateway::State::OnStore(std::string_view table, bool reachable) {
  this->log.Write(LogKind::kDependency,
                  KeyValue("store", reachable ? "regained" : "lost") + ' ' +
                      KeyValue("table", table),
                  Now());
}

bool Gateway::State::Ready() const {
  return !this->stopping && !this->crowded && this->core.Table() != nullptr &&
         this->upstreams_known && this->mover.Ready() &&
         this->crashes.Ready() && this->channel.Ready();
}

http::Task<void> Gateway::State::AnswerReadiness(http::Exchange& exchange) {
  http::Response response;
  response.status = 404;
  if (exchange.GetRequest().Path() == this->settings.readiness_path) {
    response.status = this->Ready() ? 200 : 503;
  }
  co_await exchange.Send(std::move(response));
}

http::Task<void> Gateway::State::AnswerMetrics(http::Exchange& exchange) {
  http::Response response;
  response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  response.body = this->metrics.Text();
  co_await exchange.Send(std::move(response));
}

// A crowded VM can't be relieved by refusals, which take its link and its
// processor too: the balancer is told to leave it out, and answers end their
// connections, so that callers come back elsewhere.
void Gateway::State::LookAtLoad(Duration lateness) {
  this->lag.Add(lateness);
  const bool link = this->core.Link().IsCongested(Now());
  const bool isolated = this->core.Reachability().IsIsolated(Now());
  const bool crowded = link || isolated || this->lag.IsOverloaded();
  if (crowded == this->crowded || this->stopping) return;
  this->crowded = crowded;
  this->callers.CloseAfterAnswers(crowded);
  this->log.Write(
      LogKind::kDependency,
      KeyValue("load", crowded ? "crowded" : "calm") + ' ' +
          KeyValue("by", link       ? "link"
                         : isolated ? "upstreams"
                                    : "processor") +
          ' ' +
          KeyValue("late_us", static_cast<std::int64_t>(lateness.count())),
      Now());
}

http::Task<void> Gateway::State::ExpireUpstreams() {
  http::Timer timer(this->io);
  while (true) {
    timer.expires_after(kExpireEvery);
    co_await timer.async_wait(http::kAwait);
    this->LookAtLoad(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - timer.expiry()));
    this->crashes.Tell();
    for (const std::string& id : this->core.ExpireUpstreams(Now())) {
      this->log.Write(
          LogKind::kUpstream,
          KeyValue("upstream", id) + ' ' + KeyValue("state", "not_back"),
          Now());
    }
  }
}

std::string Gateway::State::Listen() {
  if (this->readiness.Listen(this->settings.readiness_address) == 0) {
    return "cannot listen on " + this->settings.readiness_address;
  }
  if (this->callers.Listen(this->settings.listen_address) == 0) {
    return "cannot listen on " + this->settings.listen_address;
  }
  if (!this->settings.metrics_address.empty() &&
      this->metrics_page.Listen(this->settings.metrics_address) == 0) {
    return "cannot listen on " + this->settings.metrics_address;
  }
  return this->channel.Start();
}

void Gateway::State::FollowSignals() {
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) return;
        if (signal == SIGHUP) {
          const auto fresh = this->reload();
          this->log.Write(LogKind::kReloaded,
                          KeyValue("outcome", fresh ? "read" : "unreadable"),
                          Now());
          if (fresh) this->settings.stop_time = fresh->stop_time;
          this->FollowSignals();
          return;
        }
        Spawn(this->context, "stop", this->Stop(), [this] { this->io.stop(); });
      });
}

// Step 1: not ready, and every answer ends its connection. Step 2: once the
// balancer has noticed, no new connections. Step 3: what runs is finished.
// Step 4: unspent limits are handed back.
http::Task<void> Gateway::State::Stop() {
  const TimePoint begin = Now();
  const TimePoint end = begin + this->settings.stop_time - kStopMargin;
  this->stopping = true;
  this->log.Write(
      LogKind::kStopping,
      KeyValue("in_flight", static_cast<std::int64_t>(this->core.InFlight())),
      begin);
  this->callers.CloseAfterAnswers(true);
  this->broker.Leave();
  Spawn(this->context, "leave", this->channel.Leave());
  http::Timer timer(this->io);
  timer.expires_after(kLeftOutAfter);
  co_await timer.async_wait(http::kAwait);
  this->callers.Drain();
  // At least one look: what had arrived when the listener closed is read after
  // that.
  do {
    timer.expires_after(kLook);
    co_await timer.async_wait(http::kAwait);
  } while (this->HasRequests() && Now() < end);
  this->core.Budgets().BeginStop();
  this->broker.ReturnGifts();
  const TimePoint last = end + kStopMargin / 2;
  while (Now() < last &&
         (this->HasRequests() || !this->core.Budgets().AllReturned())) {
    this->keeper.Kick();
    timer.expires_after(kLook / 5);
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
  std::string fault = state.Listen();
  if (!fault.empty()) return fault;
  state.log.Write(LogKind::kStarted,
                  KeyValue("listen", state.settings.listen_address) + ' ' +
                      KeyValue("store", state.settings.store_address),
                  Now());
  state.FollowSignals();
  state.operator_table.Start();
  state.upstream_table.Start();
  state.keeper.Start();
  state.broker.Start();
  state.crashes.Start();
  SpawnDuty(state.context, "upstreams",
            [&state] { return state.ExpireUpstreams(); });
  state.io.run();
  return {};
}

}  // namespace hornbeamspool::gateway
