// Tests of the gateway's decisions: admission, routing, upstream selection,
// retries, crash suspects and error answers.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "policy/answer_verdict.h"
#include "policy/gateway_core.h"
#include "policy/lag_meter.h"
#include "policy/peer_directory.h"
#include "policy/reachability_meter.h"
#include "policy/route_table.h"
#include "policy/upstream_directory.h"
#include "policy/upstream_selector.h"
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
  request.caller_timeout = seconds(5);
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

// Gives `core` a confirmed configuration and upstreams with these ids.
void Prepare(GatewayCore& core, std::vector<std::string> upstreams) {
  core.SetConfig(MakeConfig(7));
  core.SetConfigConfirmed(true);
  core.Upstreams().SetReachable(true, At(0));
  for (std::string& id : upstreams) {
    core.Upstreams().Put(MakeUpstream(std::move(id)));
  }
}

ErrorKind RefusedKind(const std::variant<Refusal, AdmittedRequest>& admission) {
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

TEST_CASE("a request takes the host's route with the longest prefix") {
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

TEST_CASE("only a newer configuration is applied") {
  GatewayCore core = MakeCore();
  CHECK(core.SetConfig(MakeConfig(7)));
  CHECK_FALSE(core.SetConfig(MakeConfig(7)));
  CHECK_FALSE(core.SetConfig(MakeConfig(6)));
  CHECK(core.Table()->Config().version == 7);
}

TEST_CASE("without a configuration a request is refused with a retry time") {
  GatewayCore core = MakeCore();
  const auto admission = core.Admit(MakeRequest("/x"), At(0));
  CHECK(RefusedKind(admission) == ErrorKind::kNotReady);
  CHECK(std::get<Refusal>(admission).retry_after > milliseconds(0));
}

TEST_CASE("only a confirmed configuration rejects unknown routes and keys") {
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

TEST_CASE("a non-idempotent request is retried only when it was not executed") {
  for (const SendOutcome outcome :
       {SendOutcome::kBroken, SendOutcome::kSilent, SendOutcome::kRejected,
        SendOutcome::kUnreachable, SendOutcome::kNotListening}) {
    GatewayCore core = MakeCore();
    Prepare(core, {"s1", "s2"});
    AdmittedRequest admitted =
        std::get<AdmittedRequest>(core.Admit(MakeRequest("/orders/1"), At(0)));
    const auto plan = std::get<SendPlan>(core.NextSend(admitted, At(1)));
    const bool not_run = outcome == SendOutcome::kRejected ||
                         outcome == SendOutcome::kUnreachable ||
                         outcome == SendOutcome::kNotListening;
    CHECK(core.OnSendEnded(admitted, plan, outcome, At(2)) == not_run);
    // The error answer must say "not run" exactly when that is certain.
    const Refusal refusal = core.FinalRefusal(admitted, outcome);
    const bool says_not_run = AnswerFor(refusal.kind).run == RunState::kNotRun;
    CHECK(says_not_run == not_run);
  }
}

// The verdict on an answer for the request "r1".
AnswerVerdict VerdictOn(const AnswerFacts& facts, bool may_repeat) {
  return JudgeAnswer(facts, "r1", may_repeat).verdict;
}

// Guards against a copy of an earlier rejection that counts for the request.
TEST_CASE("a rejection without an id proves nothing on a kept connection") {
  AnswerFacts facts;
  facts.not_executed = true;
  for (const bool misdirected : {false, true}) {
    facts.misdirected = misdirected;
    facts.earlier_requests = 0;
    const AnswerVerdict certain =
        misdirected ? AnswerVerdict::kMisdirected : AnswerVerdict::kRejected;
    for (const bool may_repeat : {false, true}) {
      CHECK(VerdictOn(facts, may_repeat) == certain);
      CHECK_FALSE(JudgeAnswer(facts, "r1", may_repeat).keep_connection);
    }
    facts.earlier_requests = 1;
    CHECK(VerdictOn(facts, false) == AnswerVerdict::kUnusable);
    CHECK(VerdictOn(facts, true) == AnswerVerdict::kRejected);
    CHECK_FALSE(JudgeAnswer(facts, "r1", true).keep_connection);
  }
}

TEST_CASE("a rejection with the request's id counts on any connection") {
  for (const std::int64_t earlier_requests : {0, 5}) {
    AnswerFacts facts;
    facts.request_id = "r1";
    facts.not_executed = true;
    facts.earlier_requests = earlier_requests;
    CHECK(VerdictOn(facts, false) == AnswerVerdict::kRejected);
    CHECK(JudgeAnswer(facts, "r1", false).keep_connection);
    // The address's other instance may get the request next.
    facts.misdirected = true;
    CHECK(VerdictOn(facts, false) == AnswerVerdict::kMisdirected);
    CHECK_FALSE(JudgeAnswer(facts, "r1", false).keep_connection);
  }
}

TEST_CASE("an answer to another request is skipped on a kept connection") {
  AnswerFacts facts;
  facts.request_id = "r0";
  facts.success = true;
  facts.has_server_stamp = true;
  CHECK(VerdictOn(facts, true) == AnswerVerdict::kUnusable);
  facts.earlier_requests = 1;
  CHECK(VerdictOn(facts, true) == AnswerVerdict::kStale);
  CHECK(VerdictOn(facts, false) == AnswerVerdict::kStale);
}

// Guards against an order that has run and is answered as if it had not.
TEST_CASE("only an answer that says so promises that an order did not run") {
  AnswerFacts facts;
  facts.request_id = "r1";
  facts.status_promises = true;
  facts.has_server_stamp = true;
  CHECK(VerdictOn(facts, false) == AnswerVerdict::kFailed);
  CHECK(VerdictOn(facts, true) == AnswerVerdict::kAnswered);
  facts.status_promises = false;
  CHECK(VerdictOn(facts, false) == AnswerVerdict::kAnswered);
  facts.success = true;
  CHECK(VerdictOn(facts, false) == AnswerVerdict::kAnswered);
  facts.not_executed = true;  // contradicts the success
  CHECK(VerdictOn(facts, false) == AnswerVerdict::kUnusable);
  facts.not_executed = false;
  facts.has_server_stamp = false;
  CHECK(VerdictOn(facts, false) == AnswerVerdict::kUnusable);
}

TEST_CASE("orders get new connections while rejections name no request") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1"});
  const auto is_fresh = [&core](std::string path, TimePoint now) {
    AdmittedRequest admitted = std::get<AdmittedRequest>(
        core.Admit(MakeRequest(std::move(path)), now));
    const auto plan = std::get<SendPlan>(core.NextSend(admitted, now));
    core.OnSendEnded(admitted, plan, SendOutcome::kAnswered, now);
    core.Finish(admitted);
    return plan.fresh_connection;
  };
  CHECK_FALSE(is_fresh("/orders/1", At(1)));
  core.Unnamed().OnRejection("engines", At(2));
  CHECK(is_fresh("/orders/2", At(3)));
  CHECK(is_fresh("/orders/draft/1", At(4)));  // a stream that can't be resumed
  CHECK_FALSE(is_fresh("/lookup", At(5)));
  CHECK_FALSE(is_fresh("/orders/3", At(3'600'000)));
}

TEST_CASE("the route's attempts bound the upstreams of an idempotent request") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2", "s3"});
  for (int i = 0; i < 20; ++i) {  // adds to the retry budget
    (void)core.Admit(MakeRequest("/x"), At(0));
  }
  AdmittedRequest admitted =
      std::get<AdmittedRequest>(core.Admit(MakeRequest("/x"), At(0)));
  const auto first = std::get<SendPlan>(core.NextSend(admitted, At(1)));
  REQUIRE(core.OnSendEnded(admitted, first, SendOutcome::kBroken, At(2)));
  const auto second = std::get<SendPlan>(core.NextSend(admitted, At(3)));
  CHECK(second.upstream.id != first.upstream.id);
  CHECK_FALSE(core.OnSendEnded(admitted, second, SendOutcome::kBroken, At(4)));
}

// Guards against late requests to an upstream that has said that it leaves: the
// registry goes on listing it.
TEST_CASE("an upstream that leaves gets no request, whatever its entry says") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2"});
  const UpstreamEntry leaving = MakeUpstream("s1");
  core.Backoff().OnLeaving(leaving.InstanceId(), true, At(0));
  core.Upstreams().Put(leaving);
  core.Upstreams().Merge({leaving}, At(1));
  core.Upstreams().Replace({leaving, MakeUpstream("s2")}, At(1));
  for (int i = 2; i < 50; ++i) {
    AdmittedRequest admitted =
        std::get<AdmittedRequest>(core.Admit(MakeRequest("/x"), At(i)));
    const auto plan = std::get<SendPlan>(core.NextSend(admitted, At(i)));
    CHECK(plan.upstream.id == "s2");
    core.OnSendEnded(admitted, plan, SendOutcome::kAnswered, At(i));
    core.Finish(admitted);
  }
  AdmittedRequest late =
      std::get<AdmittedRequest>(core.Admit(MakeRequest("/x"), At(60)));
  CHECK_FALSE(core.TakeResend(late, leaving, At(60)));
}

// Guards against callers that wait, and budgets that are spent, for upstreams
// that take nothing for a known time.
TEST_CASE("requests are refused at once while all upstreams pause or leave") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2"});
  core.Backoff().OnLeaving("s1", true, At(0));
  core.Backoff().OnPause("", "s2", seconds(4), At(0));
  const auto admission = core.Admit(MakeRequest("/x"), At(1'000));
  REQUIRE(RefusedKind(admission) == ErrorKind::kUpstreamBackoff);
  CHECK(std::get<Refusal>(admission).retry_after >= seconds(3));
  CHECK(std::get<Refusal>(admission).retry_after <= seconds(6));
  CHECK(core.InFlight() == 0);
  core.Upstreams().Put(MakeUpstream("s3"));
  CHECK(RefusedKind(core.Admit(MakeRequest("/x"), At(1'000))) ==
        ErrorKind::kCount);
}

// Guards against a pause that looks like health: an upstream that rejects at
// once seemed idle and got most first attempts.
TEST_CASE("a pause sends the request to another upstream, and later ones too") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2"});
  for (int i = 0; i < 20; ++i) {  // adds to the retry budget
    (void)core.Admit(MakeRequest("/x"), At(0));
  }
  AdmittedRequest admitted =
      std::get<AdmittedRequest>(core.Admit(MakeRequest("/orders/1"), At(0)));
  const auto first = std::get<SendPlan>(core.NextSend(admitted, At(1)));
  core.SetFleetSize(390);
  core.Backoff().OnPause("", first.upstream.id, seconds(4), At(2));
  REQUIRE(core.OnSendEnded(admitted, first, SendOutcome::kRejected, At(2)));
  const auto second = std::get<SendPlan>(core.NextSend(admitted, At(3)));
  CHECK(second.upstream.id != first.upstream.id);
  int first_again = 0;
  for (int i = 0; i < 400; ++i) {
    AdmittedRequest next = std::get<AdmittedRequest>(
        core.Admit(MakeRequest("/x"), At(10 + 20 * i)));
    const auto plan = std::get<SendPlan>(core.NextSend(next, At(10 + 20 * i)));
    const bool paused = plan.upstream.id == first.upstream.id;
    CHECK(core.MaySend("", plan.upstream, At(10 + 20 * i)));
    CHECK_FALSE((paused && 10 + 20 * i < 4'002));
    if (paused) ++first_again;
    core.Backoff().OnAnswer(plan.upstream.id, plan.record.sent_at);
    core.OnSendEnded(next, plan, SendOutcome::kAnswered, At(11 + 20 * i));
    core.Finish(next);
  }
  CHECK(first_again > 0);
}

TEST_CASE("a request without counts of tokens has the parts of its prompt") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1"});
  GatewayRequest request = MakeRequest("/x");
  request.uncounted_parts = {{7, 100}, {8, 100}, {9, 100}};
  const auto admitted =
      std::get<AdmittedRequest>(core.Admit(std::move(request), At(0)));
  CHECK(admitted.shared_parts == std::vector<std::uint64_t>{7, 8});
}

TEST_CASE("a send that is withheld costs neither an attempt nor a retry") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2"});
  AdmittedRequest admitted =
      std::get<AdmittedRequest>(core.Admit(MakeRequest("/orders/1"), At(0)));
  const auto first = std::get<SendPlan>(core.NextSend(admitted, At(1)));
  REQUIRE(core.OnSendEnded(admitted, first, SendOutcome::kWithheld, At(2)));
  CHECK(admitted.sends == 0);
  const auto second = std::get<SendPlan>(core.NextSend(admitted, At(3)));
  CHECK(second.upstream.id != first.upstream.id);
}

// Guards against crash suspects that never were: an upstream that leaves
// refuses connections in the end.
TEST_CASE("the end of an upstream that leaves is no crash") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2"});
  const UpstreamEntry leaving = MakeUpstream("s1");
  AdmittedRequest admitted =
      std::get<AdmittedRequest>(core.Admit(MakeRequest("/x"), At(0)));
  core.Suspects().OnSent(admitted.request.fingerprint, leaving.InstanceId());
  core.Backoff().OnLeaving(leaving.InstanceId(), true, At(1));
  core.OnUpstreamDown(leaving, At(2));
  CHECK(core.Suspects().CrashCount(admitted.request.fingerprint, At(3)) == 0);
}

// Guards against exceeding the fleet's retry budget: resends on a fresh
// connection were not counted.
TEST_CASE("a resend on a fresh connection counts as a retry") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2"});
  constexpr int kRequests = 100;
  int resent = 0;
  for (int i = 0; i < kRequests; ++i) {
    AdmittedRequest admitted =
        std::get<AdmittedRequest>(core.Admit(MakeRequest("/x"), At(i)));
    if (core.TakeResend(admitted, {}, At(i))) ++resent;
    core.Finish(admitted);
  }
  CHECK(resent > 0);
  CHECK(resent <= kRequests * kRetries.ratio);
  AdmittedRequest order =
      std::get<AdmittedRequest>(core.Admit(MakeRequest("/orders/1"), At(0)));
  CHECK_FALSE(core.TakeResend(order, {}, At(60'000)));
}

// Guards against exceeding the fleet's retry budget: after a restart of the
// whole fleet, each VM took all extra retries before it knew its peers.
TEST_CASE("a VM that does not know the fleet size takes no extra retries") {
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
      AdmittedRequest admitted =
          std::get<AdmittedRequest>(core.Admit(MakeRequest("/x"), At(i)));
      if (core.TakeResend(admitted, {}, At(i))) ++count;
      core.Finish(admitted);
    }
    return count;
  };
  CHECK(resent(0) <= kRequests * kBounds.ratio);
  CHECK(resent(8) > resent(0));
  CHECK(resent(8) <= kRequests * kBounds.ratio + 56.0 / 8);
}

TEST_CASE("nothing is sent when the deadline is too near") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1"});
  AdmittedRequest admitted =
      std::get<AdmittedRequest>(core.Admit(MakeRequest("/x"), At(0)));
  CHECK(std::holds_alternative<Refusal>(core.NextSend(admitted, At(4'990))));
  const auto plan = std::get<SendPlan>(core.NextSend(admitted, At(1'000)));
  CHECK(plan.time_left == seconds(4));
}

TEST_CASE("retries keep within their ratio to requests in every window") {
  WindowedRetryBudget budget({0.2, 0, seconds(10)});
  for (int i = 0; i < 100; ++i) budget.RecordRequest(At(i * 10));
  int taken = 0;
  while (budget.TryWithdraw(1, At(1'000))) ++taken;
  CHECK(taken <= 20);
  CHECK(taken >= 10);
  CHECK_FALSE(budget.TryWithdraw(1, At(9'000)));
  // Requests and retries expire with the window.
  CHECK_FALSE(budget.TryWithdraw(1, At(30'000)));
}

TEST_CASE("the VMs share the fleet's extra retries") {
  WindowedRetryBudget budget({0.2, 40, seconds(10)});
  int taken = 0;
  while (budget.TryWithdraw(10, At(1'000))) ++taken;
  CHECK(taken >= 1);
  CHECK(taken <= 4);
}

TEST_CASE("an upstream whose address belongs to another one is ejected") {
  UpstreamSelector selector("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b", "z2");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  const SendRecord record = selector.OnSent(a, nullptr, At(0));
  selector.OnEnded(record, SendOutcome::kMisdirected, At(1));
  CHECK(selector.Select(upstreams, {}, {}, At(2)) == &b);
}

TEST_CASE("requests are shed before they queue at a narrow link") {
  GatewayOptions options;
  options.availability_zone = "z1";
  options.retries = {0.2, 0, seconds(10)};
  options.link_bytes_per_second = 1'250'000;
  GatewayCore core(options, {1, At(0)});
  Prepare(core, {"s1"});
  int refused = 0;
  // 200 requests of 12,000 bytes in a second: twice the link's capacity.
  for (int i = 0; i < 200; ++i) {
    const auto admission = core.Admit(MakeRequest("/x"), At(i * 5));
    if (std::holds_alternative<Refusal>(admission)) {
      CHECK(RefusedKind(admission) == ErrorKind::kOverloaded);
      CHECK(std::get<Refusal>(admission).retry_after > milliseconds(0));
      ++refused;
      continue;
    }
    core.Link().AddSent(12'000, At(i * 5));
    CHECK(core.Link().QueueDelay(At(i * 5)) < milliseconds(170));
  }
  CHECK(refused > 60);
  CHECK(refused < 110);
}

TEST_CASE("a link is congested until its utilisation has dropped well below") {
  LinkMeter link(1'250'000);
  // 100 requests a second of 12,000 bytes, then 50, then 30.
  std::int64_t at = 0;
  for (; at < 5'000; at += 10) link.AddReceived(12'000, At(at));
  CHECK(link.IsCongested(At(at)));
  for (; at < 7'000; at += 20) link.AddReceived(12'000, At(at));
  CHECK(link.IsCongested(At(at)));
  for (; at < 15'000; at += 33) link.AddReceived(12'000, At(at));
  CHECK_FALSE(link.IsCongested(At(at)));
  LinkMeter unknown(0);
  unknown.AddReceived(1'000'000'000, At(0));
  CHECK_FALSE(unknown.IsCongested(At(1)));
}

TEST_CASE("a lagging event loop is overloaded until its timers are on time") {
  LagMeter lag;
  lag.Add(milliseconds(120));
  CHECK_FALSE(lag.IsOverloaded());
  lag.Add(milliseconds(200));
  CHECK(lag.IsOverloaded());
  lag.Add(milliseconds(5));
  CHECK(lag.IsOverloaded());
  for (int i = 0; i < 3; ++i) lag.Add(milliseconds(5));
  CHECK_FALSE(lag.IsOverloaded());
}

TEST_CASE("a VM is isolated when many of its sends fail to reach an upstream") {
  ReachabilityMeter reachability;
  std::int64_t at = 0;
  // One upstream in twenty is down.
  for (int i = 0; i < 400; ++i) reachability.Add(i % 20 != 0, At(at += 5));
  CHECK_FALSE(reachability.IsIsolated(At(at)));
  // A third of all sends fail to reach an upstream.
  for (int i = 0; i < 1'000; ++i) reachability.Add(i % 3 != 0, At(at += 5));
  CHECK(reachability.IsIsolated(At(at)));
  // Without further sends the VM counts as recovered.
  CHECK_FALSE(reachability.IsIsolated(At(at + 10'000)));
}

TEST_CASE("reaching the connection limit does not eject the upstream") {
  UpstreamSelector selector("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b", "z2");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  const SendRecord record = selector.OnSent(a, nullptr, At(0));
  selector.OnEnded(record, SendOutcome::kNoRoom, At(1));
  CHECK(selector.Select(upstreams, {}, {}, At(2)) == &a);
}

// The prefill of a prompt of 40,000 tokens takes 0.4 s and stalls the engine's
// other streams.
TEST_CASE("two VMs send their long prompts to different engines") {
  UpstreamSelector selector("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  const ModelDemand demand = MakeDemand(40'000, {{1, 40'000}});
  SelectionCriteria criteria;
  criteria.demand = &demand;
  criteria.target_pause = std::chrono::milliseconds(300);
  const UpstreamEntry* first = selector.Select(upstreams, criteria, {}, At(0));
  const UpstreamEntry* second = first == &a ? &b : &a;
  selector.OnPeerPrefill(first->id, 40'000, At(0));
  CHECK(selector.Select(upstreams, criteria, {}, At(10)) == second);
  // The prefill has ended by then.
  CHECK(selector.Select(upstreams, criteria, {}, At(1'000)) == first);
  // Prefills at unknown upstreams are ignored.
  selector.OnPeerPrefill("elsewhere", 40'000, At(0));
}

// The load balancer sends most callers of an availability zone to a few VMs.
TEST_CASE("a VM may use more than an even share of an upstream's connections") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1"});
  core.SetFleetSize(79);
  AdmittedRequest admitted =
      std::get<AdmittedRequest>(core.Admit(MakeRequest("/x"), At(0)));
  const auto plan = std::get<SendPlan>(core.NextSend(admitted, At(0)));
  CHECK(plan.max_connections >= 100 / 6);
  CHECK(plan.max_connections < 100 / 4);
}

TEST_CASE("reaching the connection limit does not count as an attempt") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2", "s3"});
  AdmittedRequest admitted =
      std::get<AdmittedRequest>(core.Admit(MakeRequest("/orders/1"), At(0)));
  // The retry budget is empty.
  for (int i = 0; i < 2; ++i) {
    const auto plan = std::get<SendPlan>(core.NextSend(admitted, At(0)));
    CHECK(core.OnSendEnded(admitted, plan, SendOutcome::kNoRoom, At(0)));
  }
  const auto plan = std::get<SendPlan>(core.NextSend(admitted, At(0)));
  CHECK(admitted.sends == 1);
  CHECK_FALSE(core.OnSendEnded(admitted, plan, SendOutcome::kAnswered, At(9)));
  CHECK(admitted.possible_runs == 1);
}

TEST_CASE(
    "entries that lapse during a store outage are kept for a grace period") {
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

// A restored registry lists upstreams as they were some seconds ago: those that
// had left or begun to drain since used to get requests again.
TEST_CASE("upstreams that drain or have left stay so after a restore") {
  UpstreamDirectory upstreams;
  upstreams.SetReachable(true, At(0));
  std::vector<UpstreamEntry> copy;
  for (const char* id : {"drains", "left", "lives", "lapsed"}) {
    UpstreamEntry entry = MakeUpstream(id);
    entry.start_time_ms = 1;
    copy.push_back(entry);
    upstreams.Put(std::move(entry));
  }
  UpstreamEntry draining = copy[0];
  draining.draining = true;
  upstreams.Put(draining);
  upstreams.Remove("left", At(10'000));
  upstreams.SetReachable(false, At(15'000));
  upstreams.Remove("lapsed", At(15'500));
  upstreams.SetReachable(true, At(16'000));
  CHECK(upstreams.Usable("engines", At(16'000)).size() == 2);

  upstreams.Merge(copy, At(16'010));
  CHECK(upstreams.Usable("engines", At(16'010)).size() == 2);
  // The second reading, before the old entries have lapsed.
  upstreams.Replace(copy, At(19'010));
  CHECK(upstreams.Usable("engines", At(19'010)).size() == 2);

  // Instances that are new, or that write their entries themselves, are used.
  UpstreamEntry restarted = copy[1];
  restarted.start_time_ms = 2;
  UpstreamEntry fresh = MakeUpstream("fresh");
  upstreams.Merge({restarted, fresh}, At(19'020));
  CHECK(upstreams.Usable("engines", At(19'020)).size() == 4);
  upstreams.Put(copy[0]);
  CHECK(upstreams.Usable("engines", At(19'030)).size() == 5);
  // Long after a restore, a snapshot is taken as it is.
  upstreams.Remove("fresh", At(60'000));
  upstreams.Replace({fresh}, At(60'010));
  CHECK(upstreams.Usable("engines", At(60'010)).size() == 1);
}

TEST_CASE(
    "an upstream removed just after a store outage has a shorter grace "
    "period") {
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

TEST_CASE("a removed or draining upstream is unusable at once") {
  UpstreamDirectory upstreams;
  upstreams.SetReachable(true, At(0));
  upstreams.Put(MakeUpstream("s1"));
  UpstreamEntry draining = MakeUpstream("s2");
  draining.draining = true;
  upstreams.Put(draining);
  CHECK(upstreams.Usable("engines", At(0)).size() == 1);
  upstreams.Remove("s1", At(10'000));
  CHECK(upstreams.Usable("engines", At(10'000)).empty());
}

TEST_CASE(
    "requests that share a prompt part go to the engine that has it cached") {
  UpstreamSelector selector("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  const ModelDemand demand =
      MakeDemand(9'000, {{1, 500}, {2, 5'000}, {3, 3'500}});
  const SelectionCriteria criteria{&demand, 400'000, milliseconds(300)};
  const UpstreamEntry* first = selector.Select(upstreams, criteria, {}, At(0));
  SendRecord record = selector.OnSent(*first, &demand, At(0));
  selector.OnStarted(record, At(60));
  selector.OnEnded(record, SendOutcome::kAnswered, At(500));
  CHECK(selector.Select(upstreams, criteria, {}, At(600)) == first);
}

TEST_CASE("requests with a hot prompt part spill over to other upstreams") {
  UpstreamSelector selector("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  const ModelDemand demand =
      MakeDemand(9'000, {{1, 500}, {2, 5'000}, {3, 3'500}});
  const SelectionCriteria criteria{&demand, 400'000, milliseconds(300)};
  int to_a = 0;
  constexpr int kSends = 40;
  for (int i = 0; i < kSends; ++i) {
    const UpstreamEntry* chosen =
        selector.Select(upstreams, criteria, {}, At(i));
    to_a += chosen == &a ? 1 : 0;
    (void)selector.OnSent(*chosen, &demand, At(i));
  }
  CHECK(std::min(to_a, kSends - to_a) >= kSends / 5);
}

TEST_CASE("an unreachable upstream is ejected unless it is the only one") {
  UpstreamSelector selector("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b", "z2");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  CHECK(selector.Select(upstreams, {}, {}, At(0)) == &a);
  const SendRecord record = selector.OnSent(a, nullptr, At(0));
  selector.OnEnded(record, SendOutcome::kUnreachable, At(1));
  CHECK(selector.Select(upstreams, {}, {}, At(2)) == &b);
  const std::vector<const UpstreamEntry*> alone{&a};
  CHECK(selector.Select(alone, {}, {}, At(2)) == &a);
}

TEST_CASE("an upstream that fails every other request loses traffic") {
  UpstreamSelector selector("z1");
  const UpstreamEntry a = MakeUpstream("a");
  const UpstreamEntry b = MakeUpstream("b");
  const std::vector<const UpstreamEntry*> upstreams{&a, &b};
  int to_a = 0;
  for (int i = 0; i < 100; ++i) {
    const UpstreamEntry* chosen =
        selector.Select(upstreams, {}, {}, At(i * 100));
    const SendRecord record = selector.OnSent(*chosen, nullptr, At(i * 100));
    const bool fails = chosen == &a && i % 2 == 0;
    to_a += chosen == &a ? 1 : 0;
    selector.OnEnded(record,
                     fails ? SendOutcome::kBroken : SendOutcome::kAnswered,
                     At(i * 100 + 50));
  }
  CHECK(to_a < 30);
}

TEST_CASE("all VMs compute the same homes, without those in backoff") {
  PeerDirectory one("vm1");
  PeerDirectory two("vm2");
  one.Replace({{"vm2", "a:1"}, {"vm3", "b:1"}});
  two.Replace({{"vm1", "c:1"}, {"vm3", "b:1"}});
  for (const char* organisation : {"t1", "t2", "t3", "t4", "t5"}) {
    CHECK(one.VmsFor(organisation, 2, At(0)) ==
          two.VmsFor(organisation, 2, At(0)));
  }
  std::string organisation = "t0";
  while (one.VmsFor(organisation, 1, At(0)).front() != "vm3") {
    organisation += 'x';
  }
  one.OnTimeout("vm3", At(0));
  CHECK(one.VmsFor(organisation, 1, At(1)).front() != "vm3");
  CHECK(one.VmsFor(organisation, 1, At(60'000)).front() == "vm3");
  one.OnAnswer("vm3");
  CHECK(one.VmsFor(organisation, 1, At(1)).front() == "vm3");
}

TEST_CASE("a request is refused after it has crashed three upstreams") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2", "s3", "s4"});
  GatewayRequest request = MakeRequest("/x");
  request.fingerprint = 99;
  for (int i = 0; i < 3; ++i) {
    AdmittedRequest admitted =
        std::get<AdmittedRequest>(core.Admit(request, At(i)));
    const auto plan = std::get<SendPlan>(core.NextSend(admitted, At(i)));
    core.OnSendEnded(admitted, plan, SendOutcome::kBroken, At(i));
    core.Suspects().OnCrash(plan.upstream.InstanceId(), At(i));
    core.Upstreams().Remove(plan.upstream.id, At(i));
    core.Finish(admitted);
  }
  const auto refused = core.Admit(request, At(10));
  REQUIRE(std::holds_alternative<Refusal>(refused));
  CHECK(std::get<Refusal>(refused).kind == ErrorKind::kCrashSuspect);
  CHECK(std::get<Refusal>(refused).retry_after > seconds(0));
  request.fingerprint = 100;
  CHECK(std::holds_alternative<AdmittedRequest>(core.Admit(request, At(10))));
}

// Times after the initial grace period, when a removed entry means a crash.
TimePoint Later(std::int64_t ms) { return At(10'000 + ms); }

// Sends copies of one request that crashes upstreams.
struct CrashRun {
  CrashRun() {
    Prepare(this->core, {"s1", "s2", "s3", "s4"});
    this->request.fingerprint = 99;
  }

  // Sends a copy; null when it is refused.
  AdmittedRequest* Send(std::int64_t ms) {
    auto admission = this->core.Admit(this->request, Later(ms));
    if (std::holds_alternative<Refusal>(admission)) return nullptr;
    this->requests.push_back(std::make_unique<AdmittedRequest>(
        std::get<AdmittedRequest>(std::move(admission))));
    AdmittedRequest& admitted = *this->requests.back();
    auto next = this->core.NextSend(admitted, Later(ms));
    if (std::holds_alternative<Refusal>(next)) return nullptr;
    this->plan = std::get<SendPlan>(std::move(next));
    return &admitted;
  }
  // Sends a copy whose send ends with `outcome`.
  void Run(SendOutcome outcome, std::int64_t ms) {
    AdmittedRequest* admitted = this->Send(ms);
    REQUIRE(admitted != nullptr);
    this->core.OnSendEnded(*admitted, this->plan, outcome, Later(ms));
  }
  // Sends a copy that crashes its upstream.
  void Crash(std::int64_t ms) {
    this->Run(SendOutcome::kBroken, ms);
    this->core.OnUpstreamRemoved(this->plan.upstream.id, Later(ms));
  }
  std::size_t Crashes(std::int64_t ms) {
    return this->core.Suspects().CrashCount(this->request.fingerprint,
                                            Later(ms));
  }

  GatewayCore core = MakeCore();
  GatewayRequest request = MakeRequest("/x");
  std::vector<std::unique_ptr<AdmittedRequest>> requests;
  SendPlan plan;
};

// Guards against more crashes than allowed: repeated crashes of an upstream
// that restarts under the same id counted as one.
TEST_CASE("each crash of an upstream that restarts under its id counts") {
  CrashRun run;
  for (const char* other : {"s2", "s3", "s4"}) {
    run.core.Upstreams().Remove(other, Later(0));
  }
  for (int start = 1; start <= 3; ++start) {
    UpstreamEntry entry = MakeUpstream("s1");
    entry.start_time_ms = start;
    run.core.Upstreams().Put(entry);
    run.Crash(start * 10'000);
  }
  CHECK(run.Crashes(31'000) == 3);
  CHECK(run.Send(31'000) == nullptr);
}

// Guards against switching to a faulty version: a server error relayed to the
// caller of a non-idempotent route counted as a good answer.
TEST_CASE("a relayed server error counts as a failure of its version") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1"});
  RolloutOrder order{"engines", "v2", seconds(20), 7};
  core.Rollouts().SetOrder(order);
  AdmittedRequest admitted =
      std::get<AdmittedRequest>(core.Admit(MakeRequest("/orders/1"), At(0)));
  const auto plan = std::get<SendPlan>(core.NextSend(admitted, At(1)));
  CHECK_FALSE(
      core.OnSendEnded(admitted, plan, SendOutcome::kErrorRelayed, At(2)));
  const RolloutReport report = core.Rollouts().ReportAt("engines", At(3));
  REQUIRE(report.routes.size() == 1);
  const RouteStats& stats = report.routes.begin()->second.at(0);
  CHECK(stats.old_version.answers == 1);
  CHECK(stats.old_version.failures == 1);
}

// Guards against more crashes than allowed: a server error cleared a suspect.
TEST_CASE("a server error does not clear a suspect") {
  CrashRun run;
  run.Crash(0);
  run.Run(SendOutcome::kUpstreamError, 100);
  run.Run(SendOutcome::kErrorRelayed, 150);
  CHECK(run.Crashes(200) == 1);
  run.Run(SendOutcome::kAnswered, 300);
  CHECK(run.Crashes(400) == 0);
}

// Guards against more crashes than allowed: when an upstream hung before its
// entry lapsed, its requests in flight were not suspected.
TEST_CASE(
    "a request in flight at an upstream whose entry is removed is suspected") {
  CrashRun run;
  REQUIRE(run.Send(0) != nullptr);
  run.core.OnUpstreamRemoved(run.plan.upstream.id, Later(4'000));
  CHECK(run.Crashes(4'000) == 1);
  // So is a request whose caller disconnected.
  run.Run(SendOutcome::kAbandoned, 5'000);
  run.core.OnUpstreamRemoved(run.plan.upstream.id, Later(6'000));
  CHECK(run.Crashes(6'000) == 2);
}

TEST_CASE("a different upstream at the address proves that the first is down") {
  CrashRun run;
  run.Run(SendOutcome::kBroken, 0);
  AdmittedRequest* other = run.Send(10);
  REQUIRE(other != nullptr);
  SendPlan plan = run.plan;
  plan.upstream =
      run.requests.front()->failed_upstreams.front() == "s1"
          ? MakeUpstream("s1")
          : MakeUpstream(run.requests.front()->failed_upstreams.front());
  run.core.OnSendEnded(*other, plan, SendOutcome::kMisdirected, Later(20));
  CHECK(run.Crashes(20) == 1);
}

// Guards against more crashes than allowed: crashes during a store outage were
// never counted.
TEST_CASE(
    "an upstream that does not register after a store outage has crashed") {
  CrashRun run;
  run.core.Upstreams().SetReachable(false, Later(0));
  run.Run(SendOutcome::kBroken, 1'000);
  for (std::int64_t ms = 1'000; ms < 20'000; ms += 500) {
    (void)run.core.ExpireUpstreams(Later(ms));
  }
  run.core.Upstreams().SetReachable(true, Later(20'000));
  run.core.Upstreams().Remove(run.plan.upstream.id, Later(20'010));
  CHECK(run.Crashes(20'010) == 0);
  CHECK(run.core.ExpireUpstreams(Later(22'200)) ==
        std::vector<std::string>{run.plan.upstream.id});
  CHECK(run.Crashes(22'200) == 1);
}

// Guards against more crashes than allowed: concurrent copies of a request
// crashed upstreams one after the other.
TEST_CASE("one copy at a time of a request with several crashes is in flight") {
  CrashRun run;
  run.Crash(0);
  run.Crash(100);
  REQUIRE(run.Send(200) != nullptr);
  CHECK(run.Send(210) == nullptr);
  run.request.fingerprint = 100;
  CHECK(run.Send(220) != nullptr);
}

// Guards against more crashes than allowed: a suspect that kept coming was
// admitted again.
TEST_CASE("a suspicion lasts while copies of the request keep arriving") {
  CrashRun run;
  for (int i = 0; i < 3; ++i) run.Crash(i * 100);
  for (int i = 1; i <= 10; ++i) CHECK(run.Send(i * 60'000) == nullptr);
  CHECK(run.Send(10 * 60'000 + 130'000) != nullptr);
}

TEST_CASE("an entry that lapses during a store outage proves no crash") {
  GatewayCore core = MakeCore();
  Prepare(core, {"s1", "s2"});
  GatewayRequest request = MakeRequest("/x");
  request.fingerprint = 99;
  const auto crashes_after_break = [&](std::int64_t ms) {
    AdmittedRequest admitted =
        std::get<AdmittedRequest>(core.Admit(request, At(ms)));
    const auto plan = std::get<SendPlan>(core.NextSend(admitted, At(ms)));
    core.OnSendEnded(admitted, plan, SendOutcome::kBroken, At(ms));
    core.OnUpstreamRemoved(plan.upstream.id, At(ms));
    core.Finish(admitted);
    return core.Suspects().CrashCount(request.fingerprint, At(ms));
  };
  core.Upstreams().SetReachable(false, At(0));
  CHECK(crashes_after_break(0) == 0);
  core.Upstreams().SetReachable(true, At(10));
  CHECK(crashes_after_break(20) == 0);
  // Long after the outage, and the upstream was not draining.
  CHECK(crashes_after_break(20'000) == 1);
}

TEST_CASE("upstreams of an evacuated zone are not usable") {
  UpstreamDirectory upstreams;
  upstreams.SetReachable(true, At(0));
  upstreams.Put(MakeUpstream("s1", "z1"));
  upstreams.Put(MakeUpstream("s2", "z2"));
  CHECK(upstreams.Usable("engines", At(1)).size() == 2);
  upstreams.SetEvacuatedZones({"z1"});
  REQUIRE(upstreams.Usable("engines", At(2)).size() == 1);
  CHECK(upstreams.Usable("engines", At(2)).front()->id == "s2");
  // Neither is an upstream that starts there meanwhile.
  upstreams.Put(MakeUpstream("s3", "z1"));
  CHECK(upstreams.Usable("engines", At(3)).size() == 1);
  upstreams.SetEvacuatedZones({});
  CHECK(upstreams.Usable("engines", At(4)).size() == 3);
}

TEST_CASE("a budget is charged the prompt once and the delivered output") {
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
  AdmittedRequest admitted =
      std::get<AdmittedRequest>(core.Admit(request, At(2)));
  REQUIRE(core.ReserveBudget(admitted, At(2)) == BudgetVerdict::kReserved);
  const auto plan = std::get<SendPlan>(core.NextSend(admitted, At(3)));
  admitted.events_delivered = 3;
  core.OnSendEnded(admitted, plan, SendOutcome::kAnswered, At(4));
  core.Finish(admitted);
  CHECK(budgets.AllStats().front().spent == 1'000 + 3 * 9);
  CHECK(budgets.AllStats().front().reserved == 0);

  // A request that was not executed costs nothing.
  AdmittedRequest other = std::get<AdmittedRequest>(core.Admit(request, At(5)));
  REQUIRE(core.ReserveBudget(other, At(5)) == BudgetVerdict::kReserved);
  core.Finish(other);
  CHECK(budgets.AllStats().front().spent == 1'000 + 3 * 9);
}

// Guards against equal upstreams of which the first one gets nearly all
// requests.
TEST_CASE("requests spread over upstreams of equal cost") {
  UpstreamSelector selector("z1");
  std::vector<UpstreamEntry> entries(4);
  std::vector<const UpstreamEntry*> upstreams;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    entries[i].id = "i-" + std::to_string(i);
    upstreams.push_back(&entries[i]);
  }
  std::map<std::string, int> counts;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "request-" + std::to_string(i);
    SelectionCriteria criteria;
    criteria.request_id = id;
    ++counts[selector.Select(upstreams, criteria, {}, At(0))->id];
  }
  for (const UpstreamEntry& entry : entries) CHECK(counts[entry.id] > 60);
}

}  // namespace
}  // namespace hornbeamspool::policy
