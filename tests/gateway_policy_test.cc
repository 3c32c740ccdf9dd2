// The decisions of a gateway: routes, upstreams, the choice among them,
// retries, and what a request is answered.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "policy/gateway_core.h"
#include "policy/lag_meter.h"
#include "policy/peer_directory.h"
#include "policy/reach_meter.h"
#include "policy/route_table.h"
#include "policy/upstream_board.h"
#include "policy/upstream_directory.h"
#include "policy/windowed_retry_budget.h"

namespace hornbeamspool::policy {
namespace {

using coordination::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

Route MakeRoute(std::string host, std::string prefix, RouteKind kind) {
  Route route;
  route.name = prefix;
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.kind = kind;
  route.timeout = seconds(10);
  route.target_latency = milliseconds(600);
  route.target_pause = milliseconds(300);
  route.attempts = 2;
  route.shares = {{"engines", 1}};
  return route;
}

GatewayConfig MakeConfig(std::uint64_t version) {
  GatewayConfig config;
  config.version = version;
  config.routes = {
      MakeRoute("a.example", "/", RouteKind::kIdempotent),
      MakeRoute("a.example", "/orders/", RouteKind::kNonIdempotent),
      MakeRoute("a.example", "/orders/draft/", RouteKind::kStream)};
  Service service;
  service.name = "engines";
  service.max_connections = 100;
  service.engine = EngineTraits{48, 400'000, 9};
  config.services.emplace("engines", service);
  config.organisations = {{"t", {"key"}, std::nullopt, 1'000'000}};
  return config;
}

GatewayRequest MakeRequest(std::string path, std::string key = "key") {
  GatewayRequest request;
  request.id = "r1";
  request.host = "a.example";
  request.path = std::move(path);
  request.key = std::move(key);
  request.patience = seconds(5);
  return request;
}

UpstreamEntry MakeUpstream(std::string id, std::string zone = "z1") {
  UpstreamEntry entry;
  entry.id = std::move(id);
  entry.service = "engines";
  entry.address = "10.0.0.1:1";
  entry.availability_zone = std::move(zone);
  entry.slots = 48;
  return entry;
}

constexpr RetryLimits kRetries{0.2, 0, seconds(10)};

GatewayCore MakeCore() {
  GatewayOptions options;
  options.availability_zone = "z1";
  options.retries = kRetries;
  return GatewayCore(options, {1, At(0)});
}

// A core with a configuration that the store has confirmed, and upstreams.
void Prepare(GatewayCore& core, std::vector<std::string> upstreams) {
  core.SetConfig(MakeConfig(7));
  core.SetConfigConfirmed(true);
  core.Upstreams().SetReachable(true, At(0));
  for (std::string& id : upstreams) {
    core.Upstreams().Put(MakeUpstream(std::move(id)));
  }
}

ErrorKind RefusedKind(const std::variant<Refusal, Ticket>& admission) {
  const auto* refusal = std::get_if<Refusal>(&admission);
  return refusal ? refusal->kind : ErrorKind::kCount;
}

ModelDemand MakeDemand(std::int64_t prompt, std::vector<PromptPart> parts) {
  ModelDemand demand;
  demand.prompt_tokens = prompt;
  demand.max_output_tokens = 100;
  demand.parts = std::move(parts);
  return demand;
}

TEST_CASE("the longest prefix of the host's routes wins") {
  const RouteTable table(MakeConfig(1));
  CHECK(table.FindRoute("a.example", "/x")->prefix == "/");
  CHECK(table.FindRoute("a.example", "/orders/1")->prefix == "/orders/");
  CHECK(table.FindRoute("a.example:80", "/orders/draft/1")->prefix ==
        "/orders/draft/");
  CHECK(table.FindRoute("a.example", "/orders")->prefix == "/");
  CHECK(table.FindRoute("b.example", "/") == nullptr);
  CHECK(table.FindOrganisation("key")->name == "t");
  CHECK(table.FindOrganisation("other") == nullptr);
}

TEST_CASE("an older configuration is never taken") {
  GatewayCore core = MakeCore();
  CHECK(core.SetConfig(MakeConfig(7)));
  CHECK_FALSE(core.SetConfig(MakeConfig(7)));
  CHECK_FALSE(core.SetConfig(MakeConfig(6)));
  CHECK(core.Table()->Config().version == 7);
}

TEST_CASE("without a configuration a request is asked to come back") {
  GatewayCore core = MakeCore();
  const auto admission = core.Admit(MakeRequest("/x"), At(0));
  CHECK(RefusedKind(admission) == ErrorKind::kNotReady);
  CHECK(std::get<Refusal>(admission).retry_after > milliseconds(0));
}

TEST_CASE("unknown routes and keys are final only with a confirmed table") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1"});
  GatewayRequest elsewhere = MakeRequest("/x");
  elsewhere.host = "b.example";
  CHECK(RefusedKind(core.Admit(elsewhere, At(0))) == ErrorKind::kNotFound);
  CHECK(RefusedKind(core.Admit(MakeRequest("/x", "new"), At(0))) ==
        ErrorKind::kUnauthenticated);
  core.SetConfigConfirmed(false);
  CHECK(RefusedKind(core.Admit(elsewhere, At(0))) == ErrorKind::kNotReady);
  CHECK(RefusedKind(core.Admit(MakeRequest("/x", "new"), At(0))) ==
        ErrorKind::kNotReady);
  CHECK(RefusedKind(core.Admit(MakeRequest("/x", ""), At(0))) ==
        ErrorKind::kUnauthenticated);
}

TEST_CASE("a non-idempotent request is sent again only when it has not run") {
  for (const SendOutcome outcome :
       {SendOutcome::kBroken, SendOutcome::kSilent, SendOutcome::kRejected,
        SendOutcome::kUnreachable, SendOutcome::kNotListening}) {
    GatewayCore core = MakeCore();
    Prepare(core, {"s1", "s2"});
    Ticket ticket =
        std::get<Ticket>(core.Admit(MakeRequest("/orders/1"), At(0)));
    const auto order = std::get<SendOrder>(core.NextSend(ticket, At(1)));
    const bool not_run = outcome == SendOutcome::kRejected ||
                         outcome == SendOutcome::kUnreachable ||
                         outcome == SendOutcome::kNotListening;
    CHECK(core.OnSendEnded(ticket, order, outcome, At(2)) == not_run);
    // A refusal that promises "not run" must be true.
    const Refusal refusal = core.FinalRefusal(ticket, outcome);
    const bool promises = AnswerFor(refusal.kind).run == RunState::kNotRun;
    CHECK(promises == not_run);
  }
}

TEST_CASE("an idempotent request reaches no more upstreams than its attempts") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2", "s3"});
  for (int i = 0; i < 20; ++i) {  // earns retries
    (void)core.Admit(MakeRequest("/x"), At(0));
  }
  Ticket ticket = std::get<Ticket>(core.Admit(MakeRequest("/x"), At(0)));
  const auto first = std::get<SendOrder>(core.NextSend(ticket, At(1)));
  REQUIRE(core.OnSendEnded(ticket, first, SendOutcome::kBroken, At(2)));
  const auto second = std::get<SendOrder>(core.NextSend(ticket, At(3)));
  CHECK(second.upstream.id != first.upstream.id);
  CHECK_FALSE(core.OnSendEnded(ticket, second, SendOutcome::kBroken, At(4)));
}

// Guards against BUDGET: requests that were sent again on a fresh connection
// passed the fleet's allowance of repeats.
TEST_CASE("a request sent again on a fresh connection is one of the repeats") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2"});
  constexpr int kRequests = 100;
  int resent = 0;
  for (int i = 0; i < kRequests; ++i) {
    Ticket ticket = std::get<Ticket>(core.Admit(MakeRequest("/x"), At(i)));
    if (core.MayResend(ticket, At(i))) ++resent;
    core.Finish(ticket);
  }
  CHECK(resent > 0);
  CHECK(resent <= kRequests * kRetries.ratio);
  Ticket order = std::get<Ticket>(core.Admit(MakeRequest("/orders/1"), At(0)));
  CHECK_FALSE(core.MayResend(order, At(60'000)));
}

// Guards against BUDGET: a VM that had not read who its peers are took all of
// the fleet's extra repeats, as every VM did after a stop of all.
TEST_CASE("a VM that does not know its fleet takes no part of what it shares") {
  constexpr RetryLimits kBounds{0.2, 56, seconds(10)};
  constexpr int kRequests = 10;
  const auto resent = [&](std::size_t vms) {
    GatewayOptions options;
    options.retries = kBounds;
    GatewayCore core(options, {1, At(0)});
    Prepare(core, {"s1"});
    if (vms > 0) core.SetFleetSize(vms);
    int count = 0;
    for (int i = 0; i < kRequests; ++i) {
      Ticket ticket = std::get<Ticket>(core.Admit(MakeRequest("/x"), At(i)));
      if (core.MayResend(ticket, At(i))) ++count;
      core.Finish(ticket);
    }
    return count;
  };
  CHECK(resent(0) <= kRequests * kBounds.ratio);
  CHECK(resent(8) > resent(0));
  CHECK(resent(8) <= kRequests * kBounds.ratio + 56.0 / 8);
}

TEST_CASE("no send begins that the deadline would cut at once") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1"});
  Ticket ticket = std::get<Ticket>(core.Admit(MakeRequest("/x"), At(0)));
  CHECK(std::holds_alternative<Refusal>(core.NextSend(ticket, At(4'990))));
  const auto order = std::get<SendOrder>(core.NextSend(ticket, At(1'000)));
  CHECK(order.left == seconds(4));
}

TEST_CASE("repeats keep within their share in every window") {
  WindowedRetryBudget budget({0.2, 0, seconds(10)});
  for (int i = 0; i < 100; ++i) budget.RecordRequest(At(i * 10));
  int taken = 0;
  while (budget.TryWithdraw(1, At(1'000))) ++taken;
  CHECK(taken <= 20);
  CHECK(taken >= 10);
  CHECK_FALSE(budget.TryWithdraw(1, At(9'000)));
  // A window later both are forgotten.
  CHECK_FALSE(budget.TryWithdraw(1, At(30'000)));
}

TEST_CASE("the fleet's extra repeats are shared by its VMs") {
  WindowedRetryBudget budget({0.2, 40, seconds(10)});
  int taken = 0;
  while (budget.TryWithdraw(10, At(1'000))) ++taken;
  CHECK(taken >= 1);
  CHECK(taken <= 4);
}

TEST_CASE("an upstream whose address another one has is left alone") {
  UpstreamBoard board("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b", "z2");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  const SendRecord record = board.OnSent(a, nullptr, At(0));
  board.OnEnded(record, SendOutcome::kMisdirected, At(1));
  CHECK(board.Choose(upstreams, {}, {}, At(2)) == &b);
}

TEST_CASE("pattern: narrow link, requests are refused before they queue") {
  GatewayOptions options;
  options.availability_zone = "z1";
  options.retries = {0.2, 0, seconds(10)};
  options.link_bytes_per_second = 1'250'000;
  GatewayCore core(options, {1, At(0)});
  Prepare(core, {"s1"});
  int refused = 0;
  // 200 requests of 12,000 bytes in a second, twice what the link carries.
  for (int i = 0; i < 200; ++i) {
    const auto admission = core.Admit(MakeRequest("/x"), At(i * 5));
    if (std::holds_alternative<Refusal>(admission)) {
      CHECK(RefusedKind(admission) == ErrorKind::kOverloaded);
      CHECK(std::get<Refusal>(admission).retry_after > milliseconds(0));
      ++refused;
      continue;
    }
    core.Link().AddSent(12'000, At(i * 5));
    CHECK(core.Link().Delay(At(i * 5)) < milliseconds(170));
  }
  CHECK(refused > 60);
  CHECK(refused < 110);
}

TEST_CASE("pattern: one VM gets a zone's callers, and leads them elsewhere") {
  LinkMeter link(1'250'000);
  // 100 requests a second of 12,000 bytes, and then 30.
  std::int64_t at = 0;
  for (; at < 5'000; at += 10) link.AddReceived(12'000, At(at));
  CHECK(link.IsCrowded(At(at)));
  for (; at < 7'000; at += 20) link.AddReceived(12'000, At(at));
  CHECK(link.IsCrowded(At(at)));
  for (; at < 15'000; at += 33) link.AddReceived(12'000, At(at));
  CHECK_FALSE(link.IsCrowded(At(at)));
  LinkMeter unknown(0);
  unknown.AddReceived(1'000'000'000, At(0));
  CHECK_FALSE(unknown.IsCrowded(At(1)));
}

TEST_CASE("pattern: a VM falls behind, and is left out until it is on time") {
  LagMeter lag;
  lag.Add(milliseconds(120));
  CHECK_FALSE(lag.IsBehind());
  lag.Add(milliseconds(200));
  CHECK(lag.IsBehind());
  lag.Add(milliseconds(5));
  CHECK(lag.IsBehind());
  for (int i = 0; i < 3; ++i) lag.Add(milliseconds(5));
  CHECK_FALSE(lag.IsBehind());
}

TEST_CASE("pattern: a VM that reaches few upstreams says so, one does not") {
  ReachMeter reach;
  std::int64_t at = 0;
  // One upstream in twenty is down.
  for (int i = 0; i < 400; ++i) reach.Add(i % 20 != 0, At(at += 5));
  CHECK_FALSE(reach.IsIsolated(At(at)));
  // A third of all sends do not arrive.
  for (int i = 0; i < 1'000; ++i) reach.Add(i % 3 != 0, At(at += 5));
  CHECK(reach.IsIsolated(At(at)));
  // Nothing is sent any more: the VM may be tried again.
  CHECK_FALSE(reach.IsIsolated(At(at + 10'000)));
}

TEST_CASE("a VM's own bound on connections is no failure of the upstream") {
  UpstreamBoard board("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b", "z2");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  const SendRecord record = board.OnSent(a, nullptr, At(0));
  board.OnEnded(record, SendOutcome::kNoRoom, At(1));
  CHECK(board.Choose(upstreams, {}, {}, At(2)) == &a);
}

// A prompt of 40,000 tokens is read for 0.4 s, beside all other streams.
TEST_CASE("pattern: two VMs send their long prompts to different engines") {
  UpstreamBoard board("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  const ModelDemand demand = MakeDemand(40'000, {{1, 40'000}});
  ChoiceRequest request;
  request.demand = &demand;
  request.target_pause = std::chrono::milliseconds(300);
  const UpstreamEntry* first = board.Choose(upstreams, request, {}, At(0));
  const UpstreamEntry* second = first == &a ? &b : &a;
  board.OnPeersSend(first->id, 40'000, At(0));
  CHECK(board.Choose(upstreams, request, {}, At(10)) == second);
  // It has been read by then.
  CHECK(board.Choose(upstreams, request, {}, At(1'000)) == first);
  // What isn't known here is nothing to choose.
  board.OnPeersSend("elsewhere", 40'000, At(0));
}

// The balancer sends most of a zone's callers to a few of its VMs.
TEST_CASE("pattern: a busy VM gets more than its even part of connections") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1"});
  core.SetFleetSize(79);
  Ticket ticket = std::get<Ticket>(core.Admit(MakeRequest("/x"), At(0)));
  const auto order = std::get<SendOrder>(core.NextSend(ticket, At(0)));
  CHECK(order.max_connections >= 100 / 6);
  CHECK(order.max_connections < 100 / 4);
}

TEST_CASE("a connection that is not to be had is no try") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2", "s3"});
  Ticket ticket = std::get<Ticket>(core.Admit(MakeRequest("/orders/1"), At(0)));
  // No repeat is allowed: the fleet's allowance is empty.
  for (int i = 0; i < 2; ++i) {
    const auto order = std::get<SendOrder>(core.NextSend(ticket, At(0)));
    CHECK(core.OnSendEnded(ticket, order, SendOutcome::kNoRoom, At(0)));
  }
  const auto order = std::get<SendOrder>(core.NextSend(ticket, At(0)));
  CHECK(ticket.sends == 1);
  CHECK_FALSE(core.OnSendEnded(ticket, order, SendOutcome::kAnswered, At(9)));
  CHECK(ticket.runs == 1);
}

TEST_CASE("entries that lapse while the store is away are kept for a while") {
  UpstreamDirectory upstreams;
  upstreams.SetReachable(true, At(0));
  upstreams.Put(MakeUpstream("s1"));
  upstreams.Put(MakeUpstream("s2"));
  upstreams.SetReachable(false, At(10'000));
  upstreams.SetReachable(true, At(15'000));
  upstreams.Replace({MakeUpstream("s2")}, At(15'010));
  CHECK(upstreams.Usable("engines", At(17'000)).size() == 2);
  CHECK(upstreams.Expire(At(16'000)).empty());
  CHECK(upstreams.Usable("engines", At(17'200)).size() == 1);
  const std::vector<UpstreamEntry> gone = upstreams.Expire(At(18'000));
  REQUIRE(gone.size() == 1);
  CHECK(gone.front().id == "s1");
  CHECK(upstreams.Usable("engines", At(18'000)).size() == 1);
}

TEST_CASE(
    "one that leaves just after the store's return gets nothing for long") {
  UpstreamDirectory upstreams;
  upstreams.SetReachable(true, At(0));
  upstreams.Put(MakeUpstream("s1"));
  upstreams.Put(MakeUpstream("s2"));
  upstreams.SetReachable(false, At(10'000));
  upstreams.SetReachable(true, At(15'000));
  upstreams.Remove("s1", At(15'800));
  CHECK(upstreams.Usable("engines", At(16'000)).size() == 2);
  CHECK(upstreams.Usable("engines", At(17'200)).size() == 1);
}

TEST_CASE("a removed or draining upstream gets nothing at once") {
  UpstreamDirectory upstreams;
  upstreams.SetReachable(true, At(0));
  upstreams.Put(MakeUpstream("s1"));
  UpstreamEntry leaving = MakeUpstream("s2");
  leaving.draining = true;
  upstreams.Put(leaving);
  CHECK(upstreams.Usable("engines", At(0)).size() == 1);
  upstreams.Remove("s1", At(10'000));
  CHECK(upstreams.Usable("engines", At(10'000)).empty());
}

TEST_CASE("requests that share a prompt part go where it was read") {
  UpstreamBoard board("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  const ModelDemand demand =
      MakeDemand(9'000, {{1, 500}, {2, 5'000}, {3, 3'500}});
  const ChoiceRequest request{&demand, 400'000, milliseconds(300)};
  const UpstreamEntry* first = board.Choose(upstreams, request, {}, At(0));
  SendRecord record = board.OnSent(*first, &demand, At(0));
  board.OnStarted(record, At(60));
  board.OnEnded(record, SendOutcome::kAnswered, At(500));
  CHECK(board.Choose(upstreams, request, {}, At(600)) == first);
}

TEST_CASE("pattern: hot key, its home spills over when it is busy") {
  UpstreamBoard board("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  const ModelDemand demand =
      MakeDemand(9'000, {{1, 500}, {2, 5'000}, {3, 3'500}});
  const ChoiceRequest request{&demand, 400'000, milliseconds(300)};
  int to_a = 0;
  constexpr int kSends = 40;
  for (int i = 0; i < kSends; ++i) {
    const UpstreamEntry* chosen = board.Choose(upstreams, request, {}, At(i));
    to_a += chosen == &a ? 1 : 0;
    (void)board.OnSent(*chosen, &demand, At(i));
  }
  CHECK(std::min(to_a, kSends - to_a) >= kSends / 5);
}

TEST_CASE("an upstream that can't be reached is left alone, then tried again") {
  UpstreamBoard board("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b", "z2");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  CHECK(board.Choose(upstreams, {}, {}, At(0)) == &a);
  const SendRecord record = board.OnSent(a, nullptr, At(0));
  board.OnEnded(record, SendOutcome::kUnreachable, At(1));
  CHECK(board.Choose(upstreams, {}, {}, At(2)) == &b);
  const std::vector<const UpstreamEntry*> alone{&a};
  CHECK(board.Choose(alone, {}, {}, At(2)) == &a);
}

TEST_CASE("pattern: a grey upstream loses its share of the traffic") {
  UpstreamBoard board("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  int to_a = 0;
  for (int i = 0; i < 100; ++i) {
    const UpstreamEntry* chosen = board.Choose(upstreams, {}, {}, At(i * 100));
    const SendRecord record = board.OnSent(*chosen, nullptr, At(i * 100));
    const bool fails = chosen == &a && i % 2 == 0;
    to_a += chosen == &a ? 1 : 0;
    board.OnEnded(record, fails ? SendOutcome::kBroken : SendOutcome::kAnswered,
                  At(i * 100 + 50));
  }
  CHECK(to_a < 30);
}

TEST_CASE("every VM finds the same home, and the next one when it is silent") {
  PeerDirectory one("vm1");
  PeerDirectory two("vm2");
  one.Replace({{"vm2", "a:1"}, {"vm3", "b:1"}});
  two.Replace({{"vm1", "c:1"}, {"vm3", "b:1"}});
  for (const char* organisation : {"t1", "t2", "t3", "t4", "t5"}) {
    CHECK(one.HomesOf(organisation, 2, At(0)) ==
          two.HomesOf(organisation, 2, At(0)));
  }
  std::string organisation = "t0";
  while (one.HomesOf(organisation, 1, At(0)).front() != "vm3") {
    organisation += 'x';
  }
  one.OnSilence("vm3", At(0));
  CHECK(one.HomesOf(organisation, 1, At(1)).front() != "vm3");
  CHECK(one.HomesOf(organisation, 1, At(60'000)).front() == "vm3");
  one.OnAnswer("vm3");
  CHECK(one.HomesOf(organisation, 1, At(1)).front() == "vm3");
}

TEST_CASE("a request that takes upstreams down is refused after the third") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2", "s3", "s4"});
  GatewayRequest request = MakeRequest("/x");
  request.fingerprint = 99;
  for (int i = 0; i < 3; ++i) {
    Ticket ticket = std::get<Ticket>(core.Admit(request, At(i)));
    const auto order = std::get<SendOrder>(core.NextSend(ticket, At(i)));
    core.OnSendEnded(ticket, order, SendOutcome::kBroken, At(i));
    core.Suspects().OnCrash(order.upstream.Start(), At(i));
    core.Upstreams().Remove(order.upstream.id, At(i));
    core.Finish(ticket);
  }
  const auto refused = core.Admit(request, At(10));
  REQUIRE(std::holds_alternative<Refusal>(refused));
  CHECK(std::get<Refusal>(refused).kind == ErrorKind::kCrashSuspect);
  CHECK(std::get<Refusal>(refused).retry_after > seconds(0));
  request.fingerprint = 100;
  CHECK(std::holds_alternative<Ticket>(core.Admit(request, At(10))));
}

// Times at which the registry is in no doubt any more.
TimePoint Later(std::int64_t ms) { return At(10'000 + ms); }

// One request that ends what runs it, for the tests below.
struct CrashRun {
  CrashRun() {
    Prepare(this->core, {"s1", "s2", "s3", "s4"});
    this->request.fingerprint = 99;
  }

  // Sends a copy; null where it is refused.
  Ticket* Send(std::int64_t ms) {
    auto admission = this->core.Admit(this->request, Later(ms));
    if (std::holds_alternative<Refusal>(admission)) return nullptr;
    this->tickets.push_back(
        std::make_unique<Ticket>(std::get<Ticket>(std::move(admission))));
    Ticket& ticket = *this->tickets.back();
    auto next = this->core.NextSend(ticket, Later(ms));
    if (std::holds_alternative<Refusal>(next)) return nullptr;
    this->order = std::get<SendOrder>(std::move(next));
    return &ticket;
  }
  // A copy, and what became of it.
  void Run(SendOutcome outcome, std::int64_t ms) {
    Ticket* ticket = this->Send(ms);
    REQUIRE(ticket != nullptr);
    this->core.OnSendEnded(*ticket, this->order, outcome, Later(ms));
  }
  // A copy whose upstream goes with it.
  void Crash(std::int64_t ms) {
    this->Run(SendOutcome::kBroken, ms);
    this->core.NoteUpstreamGone(this->order.upstream.id, Later(ms));
  }
  std::size_t Crashes(std::int64_t ms) {
    return this->core.Suspects().CrashCount(this->request.fingerprint,
                                            Later(ms));
  }

  GatewayCore core = MakeCore();
  GatewayRequest request = MakeRequest("/x");
  std::vector<std::unique_ptr<Ticket>> tickets;
  SendOrder order;
};

// Guards against BUDGET: crashes of one upstream that starts again under its id
// counted as one.
TEST_CASE("an upstream that starts again under its id goes down each time") {
  CrashRun run;
  for (const char* other : {"s2", "s3", "s4"}) {
    run.core.Upstreams().Remove(other, Later(0));
  }
  for (int start = 1; start <= 3; ++start) {
    UpstreamEntry entry = MakeUpstream("s1");
    entry.born_ms = start;
    run.core.Upstreams().Put(entry);
    run.Crash(start * 10'000);
  }
  CHECK(run.Crashes(31'000) == 3);
  CHECK(run.Send(31'000) == nullptr);
}

// Guards against EXPOSURE: a failure that the caller of an order got counted as
// a good answer of the new version.
TEST_CASE("an upstream's own failure tells against its version") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1"});
  RolloutOrder move{"engines", "v2", seconds(20), 7};
  core.Rollouts().SetOrder(move);
  Ticket ticket = std::get<Ticket>(core.Admit(MakeRequest("/orders/1"), At(0)));
  const auto order = std::get<SendOrder>(core.NextSend(ticket, At(1)));
  CHECK_FALSE(
      core.OnSendEnded(ticket, order, SendOutcome::kErrorRelayed, At(2)));
  const RolloutReport report = core.Rollouts().ReportAt("engines", At(3));
  REQUIRE(report.routes.size() == 1);
  CHECK(report.routes.begin()->second.old_version.answers == 1);
  CHECK(report.routes.begin()->second.old_version.failures == 1);
}

// Guards against BUDGET: an upstream that failed of itself cleared the request.
TEST_CASE("an upstream's own error does not clear a request") {
  CrashRun run;
  run.Crash(0);
  run.Run(SendOutcome::kUpstreamError, 100);
  run.Run(SendOutcome::kErrorRelayed, 150);
  CHECK(run.Crashes(200) == 1);
  run.Run(SendOutcome::kAnswered, 300);
  CHECK(run.Crashes(400) == 0);
}

// Guards against BUDGET: an upstream that fell silent was no crash for what it
// had in hand.
TEST_CASE("a request in hand when its upstream's entry goes was there") {
  CrashRun run;
  REQUIRE(run.Send(0) != nullptr);
  run.core.NoteUpstreamGone(run.order.upstream.id, Later(4'000));
  CHECK(run.Crashes(4'000) == 1);
  // So was one whose caller did not wait for the end.
  run.Run(SendOutcome::kAbandoned, 5'000);
  run.core.NoteUpstreamGone(run.order.upstream.id, Later(6'000));
  CHECK(run.Crashes(6'000) == 2);
}

TEST_CASE("another upstream at the address tells that the first is gone") {
  CrashRun run;
  run.Run(SendOutcome::kBroken, 0);
  Ticket* other = run.Send(10);
  REQUIRE(other != nullptr);
  SendOrder order = run.order;
  order.upstream =
      run.tickets.front()->failed_upstreams.front() == "s1"
          ? MakeUpstream("s1")
          : MakeUpstream(run.tickets.front()->failed_upstreams.front());
  run.core.OnSendEnded(*other, order, SendOutcome::kMisdirected, Later(20));
  CHECK(run.Crashes(20) == 1);
}

// Guards against BUDGET: what went down while the store was away proved nothing
// for good.
TEST_CASE("an upstream that is not back after the store's return went down") {
  CrashRun run;
  run.core.Upstreams().SetReachable(false, Later(0));
  run.Run(SendOutcome::kBroken, 1'000);
  for (std::int64_t ms = 1'000; ms < 20'000; ms += 500) {
    (void)run.core.ExpireUpstreams(Later(ms));
  }
  run.core.Upstreams().SetReachable(true, Later(20'000));
  run.core.Upstreams().Remove(run.order.upstream.id, Later(20'010));
  CHECK(run.Crashes(20'010) == 0);
  CHECK(run.core.ExpireUpstreams(Later(22'200)) ==
        std::vector<std::string>{run.order.upstream.id});
  CHECK(run.Crashes(22'200) == 1);
}

// Guards against BUDGET: copies under way ended upstreams one after the other.
TEST_CASE("of a request near its bound one copy is under way at a time") {
  CrashRun run;
  run.Crash(0);
  run.Crash(100);
  REQUIRE(run.Send(200) != nullptr);
  CHECK(run.Send(210) == nullptr);
  run.request.fingerprint = 100;
  CHECK(run.Send(220) != nullptr);
}

// Guards against BUDGET: a request that never stopped coming was let in again.
TEST_CASE("a suspicion goes on while the request is brought") {
  CrashRun run;
  for (int i = 0; i < 3; ++i) run.Crash(i * 100);
  for (int i = 1; i <= 10; ++i) CHECK(run.Send(i * 60'000) == nullptr);
  CHECK(run.Send(10 * 60'000 + 130'000) != nullptr);
}

TEST_CASE("an entry that goes while the store is away proves no crash") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2"});
  GatewayRequest request = MakeRequest("/x");
  request.fingerprint = 99;
  const auto crashes_after_break = [&](std::int64_t ms) {
    Ticket ticket = std::get<Ticket>(core.Admit(request, At(ms)));
    const auto order = std::get<SendOrder>(core.NextSend(ticket, At(ms)));
    core.OnSendEnded(ticket, order, SendOutcome::kBroken, At(ms));
    core.NoteUpstreamGone(order.upstream.id, At(ms));
    core.Finish(ticket);
    return core.Suspects().CrashCount(request.fingerprint, At(ms));
  };
  core.Upstreams().SetReachable(false, At(0));
  CHECK(crashes_after_break(0) == 0);
  core.Upstreams().SetReachable(true, At(10));
  CHECK(crashes_after_break(20) == 0);
  // Long after the store's return, and not leaving by its own word.
  CHECK(crashes_after_break(20'000) == 1);
}

TEST_CASE("upstreams of a zone that is emptied get nothing new") {
  UpstreamDirectory upstreams;
  upstreams.SetReachable(true, At(0));
  upstreams.Put(MakeUpstream("s1", "z1"));
  upstreams.Put(MakeUpstream("s2", "z2"));
  CHECK(upstreams.Usable("engines", At(1)).size() == 2);
  upstreams.SetEvacuatedZones({"z1"});
  REQUIRE(upstreams.Usable("engines", At(2)).size() == 1);
  CHECK(upstreams.Usable("engines", At(2)).front()->id == "s2");
  // Also one that starts there meanwhile.
  upstreams.Put(MakeUpstream("s3", "z1"));
  CHECK(upstreams.Usable("engines", At(3)).size() == 1);
  upstreams.SetEvacuatedZones({});
  CHECK(upstreams.Usable("engines", At(4)).size() == 3);
}

TEST_CASE("a budget is charged its prompt once and its delivered output") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1"});
  GatewayRequest request = MakeRequest("/x");
  request.demand = MakeDemand(1'000, {{1, 1'000}});
  BudgetManager& budgets = core.Budgets();
  budgets.OnStoreClock(1, At(0), At(0));
  BudgetRows rows;
  rows.organisation = "t";
  budgets.OnRead(rows);
  budgets.ActAsHome("t", At(60'000));
  (void)budgets.PlanWrites(At(1), 1);
  budgets.OnWritten("t", 1);
  Ticket ticket = std::get<Ticket>(core.Admit(request, At(2)));
  REQUIRE(core.Pay(ticket, At(2)) == BudgetVerdict::kReserved);
  const auto order = std::get<SendOrder>(core.NextSend(ticket, At(3)));
  ticket.events_delivered = 3;
  core.OnSendEnded(ticket, order, SendOutcome::kAnswered, At(4));
  core.Finish(ticket);
  CHECK(budgets.AllStats().front().spent == 1'000 + 3 * 9);
  CHECK(budgets.AllStats().front().reserved == 0);

  // What has not run costs nothing.
  Ticket other = std::get<Ticket>(core.Admit(request, At(5)));
  REQUIRE(core.Pay(other, At(5)) == BudgetVerdict::kReserved);
  core.Finish(other);
  CHECK(budgets.AllStats().front().spent == 1'000 + 3 * 9);
}

}  // namespace
}  // namespace hornbeamspool::policy
