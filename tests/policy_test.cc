#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <variant>

#include "policy/error_kind.h"
#include "policy/event.h"
#include "policy/retry.h"
#include "policy/router.h"
#include "policy/settlement_queue.h"
#include "policy/upstream_set.h"

namespace hornbeamspool::policy {
namespace {

using coordination::TimePoint;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(1'000)};

TEST_CASE("every error kind has a complete answer") {
  for (std::size_t i = 0; i < static_cast<std::size_t>(ErrorKind::kCount);
       ++i) {
    const ErrorAnswer& answer = AnswerFor(static_cast<ErrorKind>(i));
    CHECK_GE(answer.status, 400);
    CHECK_FALSE(answer.name.empty());
    CHECK_FALSE(answer.message.empty());
    // Every 503 carries a Retry-After.
    if (answer.status == 503) CHECK_GT(answer.retry_after_s, 0);
  }
}

TEST_CASE("a log value cannot inject another key=value pair") {
  CHECK_EQ(KeyValue("key", "plain"), "key=plain");
  CHECK_EQ(KeyValue("key", "a b=\"c\"\n"), "key=\"a b=\\\"c\\\" \"");
}

TEST_CASE("retries are limited by the retry budget and the attempt count") {
  RetryBudget budget;
  int withdrawn = 0;
  while (budget.TryWithdraw()) ++withdrawn;
  CHECK_EQ(withdrawn, 10);
  AttemptState attempts;
  attempts.repeatable = false;
  attempts.reached = true;
  for (int i = 0; i < 1'000; ++i) budget.Deposit();
  CHECK_FALSE(MayRetry(attempts, budget));
  attempts.reached = false;
  CHECK(MayRetry(attempts, budget));
  attempts.count = 3;
  CHECK_FALSE(MayRetry(attempts, budget));
}

std::vector<ListedUpstream> TwoUpstreams() {
  return {{"near", "s", "v1", "zone-a", "1", false},
          {"far", "s", "v1", "zone-b", "2", false}};
}

UpstreamDemand Demand(std::int64_t tokens) {
  UpstreamDemand demand;
  demand.service = "s";
  demand.version = "v1";
  demand.availability_zone = "zone-a";
  demand.tokens = tokens;
  return demand;
}

TEST_CASE(
    "an upstream in the own zone is preferred unless it is much more loaded") {
  UpstreamSet set;
  set.SetListed(TwoUpstreams());
  set.SetReport({"near", 0, 1'000, 0});
  set.SetReport({"far", 0, 1'000, 0});
  CHECK_EQ(set.Select(Demand(10), kNow)->listed.name, "near");
  set.BeginRequest("near", 300);
  CHECK_EQ(set.Select(Demand(10), kNow)->listed.name, "far");
}

TEST_CASE("an upstream without enough free KV cache is not chosen") {
  UpstreamSet set;
  set.SetListed(TwoUpstreams());
  set.SetReport({"near", 900, 1'000, 0});
  set.SetReport({"far", 0, 1'000, 0});
  CHECK_EQ(set.Select(Demand(101), kNow)->listed.name, "far");
  set.BeginRequest("far", 950);
  CHECK_EQ(set.Select(Demand(101), kNow), nullptr);
}

TEST_CASE("draining, failed and excluded upstreams get no new requests") {
  UpstreamSet set;
  auto listed = TwoUpstreams();
  listed[0].draining = true;
  set.SetListed(listed);
  CHECK_EQ(set.Select(Demand(1), kNow)->listed.name, "far");
  set.MarkFailed("far", kNow);
  // A failed upstream is still chosen when there is no other.
  CHECK_EQ(set.Select(Demand(1), kNow)->listed.name, "far");
  const std::vector<std::string> excluded{"far"};
  UpstreamDemand demand = Demand(1);
  demand.excluded = excluded;
  CHECK_EQ(set.Select(demand, kNow), nullptr);
}

Settlement BillOf(std::string key) {
  Settlement settlement;
  settlement.has_bill = true;
  settlement.bill.organisation = "o";
  settlement.bill.request_key = std::move(key);
  return settlement;
}

TEST_CASE(
    "settlements are written one batch at a time, a request key once per "
    "batch") {
  SettlementQueue billing;
  billing.Add(BillOf("a"));
  billing.Add(BillOf("b"));
  billing.Add(BillOf("a"));
  CHECK_EQ(billing.TakeBatch(kNow).size(), 2);
  CHECK(billing.TakeBatch(kNow).empty());
  CHECK_EQ(billing.OnWritten({TableStatus::kOk, {}, {}}, kNow).size(), 2);
  CHECK_EQ(billing.TakeBatch(kNow).size(), 1);
}

TEST_CASE("a failed batch is retried without the settlements already written") {
  SettlementQueue billing;
  billing.Add(BillOf("a"));
  billing.Add(BillOf("b"));
  billing.Add(BillOf("c"));
  CHECK_EQ(billing.TakeBatch(kNow).size(), 3);
  const auto done = billing.OnWritten({TableStatus::kConflict, {1}, {3}}, kNow);
  REQUIRE_EQ(done.size(), 2);
  CHECK(done[0].duplicate);
  CHECK_FALSE(done[1].duplicate);
  const auto next = billing.TakeBatch(kNow);
  REQUIRE_EQ(next.size(), 1);
  CHECK_EQ(next[0].bill.request_key, "b");
}

FleetConfig SmallConfig() {
  FleetConfig config;
  WorkClass quick;
  quick.name = "quick";
  quick.targets.first_token = seconds(1);
  quick.targets.deadline = seconds(20);
  config.classes = {quick};
  Organisation organisation;
  organisation.name = "o";
  organisation.classes = {"quick"};
  organisation.keys = {{"digest", "budget"}};
  config.organisations = {organisation};
  Model model;
  model.name = "m";
  model.service = "s";
  model.version = "v1";
  model.default_max_tokens = 10;
  model.limit_max_tokens = 100;
  config.models = {model};
  return config;
}

AdmissionRequest ModelRequest(std::uint64_t correlation_id) {
  AdmissionRequest request;
  request.correlation_id = correlation_id;
  request.key_digest = "digest";
  request.target = "m";
  request.request_id = "id-" + std::to_string(correlation_id);
  return request;
}

ErrorKind RefusalOf(const Outbox& out) {
  REQUIRE_EQ(out.replies.size(), 1);
  const auto* refused = std::get_if<Refused>(&out.replies[0].verdict);
  REQUIRE_NE(refused, nullptr);
  return refused->kind;
}

// A router with a configuration and two upstreams.
struct Fixture {
  Fixture() : router(RouterOptions{"zone-a", 4}) {
    this->router.SetConfig(3, SmallConfig(), this->out);
    this->router.SetUpstreams(TwoUpstreams(), this->out);
    this->out = {};
  }

  Outbox Request(const AdmissionRequest& request) {
    Outbox next;
    this->router.OnRequest(request, kNow, next);
    return next;
  }

  // Answers the read of the budget, of which `ungranted` units are left, and
  // the write that follows when the router draws a grant.
  Outbox AnswerDraw(std::int64_t ungranted) {
    Outbox next;
    BudgetRead read;
    read.budget = "budget";
    read.status = TableStatus::kOk;
    read.ledger = {ungranted, 0};
    read.version = 1;
    this->router.OnTableReply(read, kNow, next);
    const auto* write = next.commands.empty()
                            ? nullptr
                            : std::get_if<WriteGrant>(&next.commands[0]);
    if (write == nullptr || !next.replies.empty()) return next;
    GrantWritten written;
    written.budget = "budget";
    written.operation = write->operation;
    written.status = TableStatus::kOk;
    next = {};
    this->router.OnTableReply(written, kNow, next);
    return next;
  }

  Router router;
  Outbox out;
};

TEST_CASE("requests that fail a check are refused with its error") {
  Fixture fixture;
  AdmissionRequest request = ModelRequest(1);
  request.key_digest = "other";
  CHECK_EQ(RefusalOf(fixture.Request(request)), ErrorKind::kUnauthenticated);
  request = ModelRequest(2);
  request.target = "other";
  CHECK_EQ(RefusalOf(fixture.Request(request)), ErrorKind::kUnknownModel);
  request = ModelRequest(3);
  request.work_class = "other";
  CHECK_EQ(RefusalOf(fixture.Request(request)), ErrorKind::kUnknownClass);
  request = ModelRequest(4);
  request.max_tokens = 101;
  CHECK_EQ(RefusalOf(fixture.Request(request)), ErrorKind::kTooManyTokens);
  CHECK_EQ(fixture.router.InFlight(), 0);
}

TEST_CASE("a configuration that is not newer is not applied") {
  Fixture fixture;
  Outbox next;
  CHECK_FALSE(fixture.router.SetConfig(3, SmallConfig(), next));
  CHECK_FALSE(fixture.router.SetConfig(2, SmallConfig(), next));
  CHECK_EQ(fixture.router.ConfigEpoch(), 3);
}

TEST_CASE("a request waits for a grant and is admitted once it is drawn") {
  Fixture fixture;
  CHECK(fixture.Request(ModelRequest(1)).replies.empty());
  const Outbox next = fixture.AnswerDraw(10'000);
  REQUIRE_EQ(next.replies.size(), 1);
  CHECK(std::holds_alternative<Admitted>(next.replies[0].verdict));
}

TEST_CASE("requests on an exhausted budget are refused at once") {
  Fixture fixture;
  fixture.Request(ModelRequest(1));
  CHECK_EQ(RefusalOf(fixture.AnswerDraw(5)), ErrorKind::kBudgetExhausted);
  CHECK_EQ(RefusalOf(fixture.Request(ModelRequest(2))),
           ErrorKind::kBudgetExhausted);
  CHECK_EQ(fixture.router.InFlight(), 0);
}

// Guards against requests from the chat-completions router to upstreams that
// leave or have asked for a pause.
TEST_CASE("a router sends nothing to upstreams that leave or pause") {
  Fixture fixture;
  const auto complete = [&fixture](const Outbox& out) {
    Completion completion;
    completion.reservation =
        std::get<Admitted>(out.replies.at(0).verdict).reservation;
    Outbox ended;
    fixture.router.OnCompletion(completion, kNow, ended);
  };
  fixture.Request(ModelRequest(1));
  complete(fixture.AnswerDraw(10'000));
  const auto listed = TwoUpstreams();
  UpstreamAnswer leaving;
  leaving.instance = listed[0].InstanceId();
  leaving.backoff.leaving = true;
  fixture.router.OnUpstreamAnswer(leaving, kNow, fixture.out);
  for (std::uint64_t i = 2; i < 6; ++i) {
    const Outbox next = fixture.Request(ModelRequest(i));
    REQUIRE_EQ(next.replies.size(), 1);
    CHECK_EQ(std::get<Admitted>(next.replies[0].verdict).upstream,
             listed[1].name);
    complete(next);
  }
  UpstreamAnswer pause;
  pause.instance = listed[1].InstanceId();
  pause.backoff.pause = std::chrono::seconds(4);
  fixture.router.OnUpstreamAnswer(pause, kNow, fixture.out);
  const Outbox refused = fixture.Request(ModelRequest(6));
  CHECK_EQ(RefusalOf(refused), ErrorKind::kUpstreamBackoff);
  const auto& refusal = std::get<Refused>(refused.replies[0].verdict);
  CHECK_GE(*refusal.retry_after_s, 4);
  CHECK_LE(*refusal.retry_after_s, 5);
  Outbox later;
  fixture.router.OnRequest(ModelRequest(7), kNow + std::chrono::seconds(6),
                           later);
  REQUIRE_EQ(later.replies.size(), 1);
  CHECK(std::holds_alternative<Admitted>(later.replies[0].verdict));
}

// A fixture whose first request has drawn a grant and ended, and whose
// upstreams have announced rate limits.
struct RateFixture : Fixture {
  explicit RateFixture(double per_second) {
    this->Request(ModelRequest(1));
    const Outbox next = this->AnswerDraw(10'000);
    Completion completion;
    completion.reservation =
        std::get<Admitted>(next.replies.at(0).verdict).reservation;
    Outbox ended;
    this->router.OnCompletion(completion, kNow, ended);
    for (const ListedUpstream& listed : TwoUpstreams()) {
      UpstreamAnswer answer;
      answer.instance = listed.InstanceId();
      answer.rate = {AnnouncedRate::Kind::kLimited, per_second};
      this->router.OnUpstreamAnswer(answer, kNow, this->out);
    }
  }
};

TEST_CASE("a router sends what the limits of its upstreams allow") {
  RateFixture fixture(1);
  fixture.router.SetPeers({}, fixture.out);
  // The buckets are empty at first, and the wait would be too long.
  const Outbox refused = fixture.Request(ModelRequest(2));
  CHECK_EQ(RefusalOf(refused), ErrorKind::kUpstreamRateLimited);
  CHECK_EQ(std::get<Refused>(refused.replies[0].verdict).retry_after_s, 1);
  // Each upstream has one permit after the silence.
  const auto after = kNow + std::chrono::seconds(5);
  std::vector<std::string> served;
  for (std::uint64_t i = 3; i < 5; ++i) {
    Outbox next;
    fixture.router.OnRequest(ModelRequest(i), after, next);
    REQUIRE_EQ(next.replies.size(), 1);
    const auto& admitted = std::get<Admitted>(next.replies[0].verdict);
    CHECK(admitted.rate_limited);
    served.push_back(admitted.upstream);
    Completion completion;
    completion.reservation = admitted.reservation;
    fixture.router.OnCompletion(completion, after, next);
  }
  CHECK(served == std::vector<std::string>{"near", "far"});
  Outbox next;
  fixture.router.OnRequest(ModelRequest(5), after, next);
  CHECK_EQ(RefusalOf(next), ErrorKind::kUpstreamRateLimited);
}

TEST_CASE("a router forgets the limits of upstreams that have left") {
  RateFixture fixture(1);
  CHECK_EQ(fixture.router.RateStats(kNow).size(), 2);
  Outbox next;
  fixture.router.SetUpstreams({}, next);
  fixture.router.OnTick(kNow + std::chrono::seconds(30), next);
  CHECK_EQ(fixture.router.RateStats(kNow).size(), 2);
  fixture.router.OnTick(kNow + std::chrono::minutes(2), next);
  CHECK(fixture.router.RateStats(kNow).empty());
}

TEST_CASE("a router asks the issuer of an upstream's permits") {
  RateFixture fixture(1);
  fixture.router.SetPeers({"a", "b", "c", "d", "e", "f"}, fixture.out);
  Outbox next = fixture.Request(ModelRequest(2));
  REQUIRE_EQ(next.peer_messages.size(), 1);
  CHECK(next.replies.empty());
  const PeerMessage asked = next.peer_messages[0];
  CHECK(asked.message.kind == RateMessageKind::kPermitRequest);
  CHECK(asked.message.limited);

  SUBCASE("a permit admits the request") {
    RateMessage verdict = asked.message;
    verdict.kind = RateMessageKind::kPermitVerdict;
    verdict.sender = asked.to;
    verdict.granted = true;
    Outbox granted;
    fixture.router.OnPeerMessage(verdict, kNow, granted);
    REQUIRE_EQ(granted.replies.size(), 1);
    const auto& admitted = std::get<Admitted>(granted.replies[0].verdict);
    CHECK_EQ(admitted.instance, asked.message.instance);
  }
  SUBCASE("a refusal is followed by a request to another issuer") {
    RateMessage verdict = asked.message;
    verdict.kind = RateMessageKind::kPermitVerdict;
    verdict.sender = asked.to;
    verdict.next_permit_ms = 900;
    Outbox refused;
    fixture.router.OnPeerMessage(verdict, kNow, refused);
    REQUIRE_EQ(refused.peer_messages.size(), 1);
    const PeerMessage& other = refused.peer_messages[0];
    CHECK((other.to != asked.to ||
           other.message.instance != asked.message.instance));
  }
  SUBCASE("silent issuers don't hold the request for long") {
    Outbox out;
    auto now = kNow;
    while (out.replies.empty() && now < kNow + std::chrono::seconds(1)) {
      now += std::chrono::milliseconds(20);
      fixture.router.OnTick(now, out);
    }
    CHECK_EQ(RefusalOf(out), ErrorKind::kUpstreamRateLimited);
    CHECK(now < kNow + std::chrono::milliseconds(500));
  }
}

FleetConfig OrderConfig() {
  FleetConfig config = SmallConfig();
  PlainRoute route;
  route.prefix = "/orders";
  route.service = "s";
  route.price_tokens = 5;
  route.calls = {{{"POST"}, false, true}};
  config.routes = {route};
  return config;
}

AdmissionRequest OrderRequest(std::uint64_t correlation_id) {
  AdmissionRequest request = ModelRequest(correlation_id);
  request.kind = RequestKind::kPlain;
  request.target = "/orders/x";
  request.method = "POST";
  request.request_key = "key";
  request.fingerprint = 7;
  return request;
}

TEST_CASE("an order commits its intent before it is admitted") {
  Fixture fixture;
  Outbox next;
  fixture.router.SetConfig(4, OrderConfig(), next);
  next = fixture.Request(OrderRequest(1));
  CHECK(next.replies.empty());
  REQUIRE_EQ(next.commands.size(), 1);
  CHECK(std::holds_alternative<CommitIntent>(next.commands[0]));
}

TEST_CASE(
    "an order with a known key gets the recorded answer before any budget is "
    "read") {
  Fixture fixture;
  Outbox next;
  fixture.router.SetConfig(4, OrderConfig(), next);
  fixture.Request(OrderRequest(1));
  IntentCommitted found;
  found.reservation = 1;
  found.status = TableStatus::kConflict;
  found.fingerprint = 7;
  found.answered = true;
  found.answer.status = 201;
  next = {};
  fixture.router.OnTableReply(found, kNow, next);
  REQUIRE_EQ(next.replies.size(), 1);
  const auto* replayed = std::get_if<Replayed>(&next.replies[0].verdict);
  REQUIRE_NE(replayed, nullptr);
  CHECK_EQ(replayed->answer.status, 201);
}

TEST_CASE("the refusal of an order says when its key could not be looked up") {
  Fixture fixture;
  Outbox next;
  fixture.router.SetConfig(4, OrderConfig(), next);
  fixture.Request(OrderRequest(1));
  IntentCommitted failed;  // the default status is kUnavailable
  failed.reservation = 1;
  next = {};
  fixture.router.OnTableReply(failed, kNow, next);
  CHECK_EQ(RefusalOf(next), ErrorKind::kStoreUnavailable);
  CHECK(std::get<Refused>(next.replies[0].verdict).earlier_attempts_unknown);
}

TEST_CASE("a second request with a key in progress is refused") {
  Fixture fixture;
  AdmissionRequest request = ModelRequest(1);
  request.request_key = "key";
  fixture.Request(request);
  request.correlation_id = 2;
  CHECK_EQ(RefusalOf(fixture.Request(request)), ErrorKind::kInProgress);
}

TEST_CASE(
    "a router refuses requests when it is at its limit and when it is "
    "stopping") {
  Fixture fixture;
  for (std::uint64_t i = 1; i <= 4; ++i) fixture.Request(ModelRequest(i));
  CHECK_EQ(RefusalOf(fixture.Request(ModelRequest(5))), ErrorKind::kOverloaded);
  fixture.router.BeginStop();
  CHECK_EQ(RefusalOf(fixture.Request(ModelRequest(6))), ErrorKind::kStopping);
}

TEST_CASE("a request that reached an upstream is never reported as not run") {
  Fixture fixture;
  fixture.Request(ModelRequest(1));
  Outbox next = fixture.AnswerDraw(10'000);
  std::uint64_t reservation =
      std::get<Admitted>(next.replies.at(0).verdict).reservation;
  next = {};
  fixture.router.OnRetry({2, reservation, true}, kNow, next);
  REQUIRE(std::holds_alternative<Admitted>(next.replies.at(0).verdict));
  next = {};
  fixture.router.OnRetry({3, reservation, false}, kNow, next);
  const ErrorKind kind = RefusalOf(next);
  CHECK_EQ(kind, ErrorKind::kUpstreamFailed);
  CHECK_EQ(AnswerFor(kind).run, RunState::kMayHaveRun);
}

// A fixture whose budget has a grant, with one upstream that may restart.
struct CrashFixture : Fixture {
  CrashFixture() {
    const Outbox next = this->Draw();
    this->End(next, CompletionOutcome::kNotRun, kNow);
  }

  Outbox Draw() {
    this->Request(ModelRequest(1));
    return this->AnswerDraw(100'000);
  }
  void End(const Outbox& next, CompletionOutcome outcome, TimePoint now) {
    Completion completion;
    completion.reservation =
        std::get<Admitted>(next.replies.at(0).verdict).reservation;
    completion.outcome = outcome;
    Outbox ended;
    this->router.OnCompletion(completion, now, ended);
  }
  Outbox Send(const std::vector<std::uint64_t>& parts, TimePoint now) {
    AdmissionRequest request = ModelRequest(++this->requests);
    request.shared_parts = parts;
    Outbox next;
    this->router.OnRequest(request, now, next);
    return next;
  }
  // The upstream restarts as another instance.
  void Restart() {
    const std::vector<ListedUpstream> listed{
        {"near", "s", "v1", "zone-a", "1", false,
         "near@" + std::to_string(++this->starts)}};
    this->router.SetUpstreams(listed, this->out);
  }
  // Sends a request with these parts, which crashes the upstream.
  void CrashBy(const std::vector<std::uint64_t>& parts, TimePoint now) {
    this->Restart();
    const Outbox next = this->Send(parts, now);
    RetryRequest retry;
    retry.reservation =
        std::get<Admitted>(next.replies.at(0).verdict).reservation;
    retry.reached = true;
    retry.broken = true;
    retry.crashed = true;
    Outbox retried;
    this->router.OnRetry(retry, now + std::chrono::milliseconds(5), retried);
    CHECK_EQ(RefusalOf(retried), ErrorKind::kUpstreamFailed);
  }

  std::uint64_t requests = 100;
  int starts = 0;
};

// Routers used to send requests with a message that crashes engines for ever,
// since no two of them are alike.
TEST_CASE(
    "a router refuses a message that crashes upstreams, as do its peers") {
  constexpr std::uint64_t kSystem = 1;  // the message that all requests hold
  constexpr std::uint64_t kPoison = 7;
  CrashFixture fixture;
  TimePoint now = kNow;
  Outbox records;
  for (int i = 0; i < 3; ++i) {
    now += std::chrono::milliseconds(100);
    fixture.CrashBy({kSystem, kPoison}, now);
    fixture.Restart();
    const Outbox sound = fixture.Send({kSystem}, now);
    now += std::chrono::milliseconds(100);
    fixture.End(sound, CompletionOutcome::kDelivered, now);
    fixture.router.OnTick(now, records);
  }
  CHECK_EQ(RefusalOf(fixture.Send({kSystem, kPoison}, now)),
           ErrorKind::kPoisonPart);
  CHECK(std::holds_alternative<Admitted>(
      fixture.Send({kSystem}, now).replies.at(0).verdict));

  CrashFixture peer;
  peer.router.OnPartRecords(records.part_records, now);
  CHECK_EQ(RefusalOf(peer.Send({kPoison}, now)), ErrorKind::kPoisonPart);
}

TEST_CASE("a message is not named for upstreams' own errors or slow answers") {
  constexpr std::uint64_t kMessage = 7;
  CrashFixture fixture;
  TimePoint now = kNow;
  for (int i = 0; i < 6; ++i) {
    now += std::chrono::milliseconds(100);
    fixture.Restart();
    const Outbox next = fixture.Send({kMessage}, now);
    RetryRequest retry;
    retry.reservation =
        std::get<Admitted>(next.replies.at(0).verdict).reservation;
    retry.reached = true;
    retry.broken = i % 2 == 0;
    Outbox retried;
    fixture.router.OnRetry(retry, now, retried);
    const Outbox sound = fixture.Send({}, now);
    fixture.End(sound, CompletionOutcome::kDelivered, now);
  }
  CHECK_EQ(fixture.router.Parts().NamedCount(), 0);
}

}  // namespace
}  // namespace hornbeamspool::policy
