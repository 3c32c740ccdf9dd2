// How a gateway's choice of an upstream heeds announced rate limits.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "policy/gateway_core.h"
#include "policy/version_rollout.h"
#include "tests/one_route_config.h"

namespace hornbeamspool::policy {
namespace {

using coordination::TimePoint;
using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

// A gateway that is alone in its fleet, with the upstreams `a` and `b`.
struct Fixture {
  Fixture() : core(Options(), {1, At(0)}) {
    this->core.SetConfig(
        OneRouteConfig(std::chrono::seconds(10), milliseconds(600)));
    this->core.SetConfigConfirmed(true);
    this->core.SetPeers({});
    this->core.Upstreams().SetReachable(true, At(0));
    for (const char* id : {"a", "b"}) {
      UpstreamEntry entry;
      entry.id = id;
      entry.service = "s";
      entry.address = "10.0.0.1:1";
      entry.slots = 10;
      this->core.Upstreams().Put(entry);
    }
  }

  static GatewayOptions Options() {
    GatewayOptions options;
    options.vm = "vm-1";
    options.retries = {1, 0, std::chrono::seconds(10)};
    return options;
  }
  void Limit(const char* instance, double per_second) {
    this->core.Limits().OnAnswer(
        instance, {AnnouncedRate::Kind::kLimited, per_second}, At(0), At(0));
  }
  AdmittedRequest Admit(std::int64_t ms) {
    GatewayRequest request;
    request.id = std::to_string(ms);
    request.host = "h";
    request.path = "/x";
    request.caller_timeout = std::chrono::seconds(10);
    request.fingerprint = static_cast<std::uint64_t>(ms) + 1;
    return std::get<AdmittedRequest>(this->core.Admit(request, At(ms)));
  }

  GatewayCore core;
};

TEST_CASE("an upstream at its limit is left to others") {
  Fixture fixture;
  fixture.Limit("a", 1);
  for (std::int64_t ms = 1; ms < 200; ms += 10) {
    AdmittedRequest admitted = fixture.Admit(ms);
    const auto plan =
        std::get<SendPlan>(fixture.core.NextSend(admitted, At(ms)));
    CHECK(plan.upstream.id == "b");
  }
}

TEST_CASE("a request that no limit leaves room for is refused at once") {
  Fixture fixture;
  fixture.Limit("a", 0.5);
  fixture.Limit("b", 0.5);
  AdmittedRequest admitted = fixture.Admit(1);
  const auto refusal =
      std::get<Refusal>(fixture.core.NextSend(admitted, At(1)));
  CHECK(refusal.kind == ErrorKind::kUpstreamRateLimited);
  CHECK(refusal.retry_after >= std::chrono::seconds(2));
}

TEST_CASE("a request waits for a permit that comes within its target") {
  Fixture fixture;
  fixture.Limit("a", 5);
  fixture.Limit("b", 4);
  AdmittedRequest admitted = fixture.Admit(1);
  const auto wait =
      std::get<PermitWait>(fixture.core.NextSend(admitted, At(1)));
  CHECK(wait.until <= At(202));
  const auto plan =
      std::get<SendPlan>(fixture.core.NextSend(admitted, wait.until));
  CHECK(plan.upstream.id == "a");
}

// Guards against streams that are cut off although a permit for another
// upstream comes within the pause that callers accept.
TEST_CASE("a broken stream waits for a permit to go on") {
  Fixture fixture;
  fixture.Limit("b", 4);
  AdmittedRequest admitted = fixture.Admit(1);
  auto plan = std::get<SendPlan>(fixture.core.NextSend(admitted, At(1)));
  CHECK(plan.upstream.id == "a");
  for (std::int64_t ms = 2; ms < 6; ++ms) fixture.Admit(ms);
  admitted.started = true;
  admitted.last_event_at = At(5'000);
  CHECK(fixture.core.OnSendEnded(admitted, plan, SendOutcome::kBroken,
                                 At(5'010)));
  // Another request has taken the permit that had accumulated.
  CHECK(fixture.core.Limits().TakeOwn("b", At(5'010)));
  const auto wait =
      std::get<PermitWait>(fixture.core.NextSend(admitted, At(5'010)));
  CHECK(wait.until <= At(5'300));
  plan = std::get<SendPlan>(fixture.core.NextSend(admitted, wait.until));
  CHECK(plan.upstream.id == "b");
}

TEST_CASE("the client's own resend does not go to a limited upstream") {
  Fixture fixture;
  for (std::int64_t ms = 2; ms < 6; ++ms) fixture.Admit(ms);
  AdmittedRequest admitted = fixture.Admit(1);
  const auto plan = std::get<SendPlan>(fixture.core.NextSend(admitted, At(1)));
  CHECK(fixture.core.TakeResend(admitted, plan.upstream, At(2)));
  fixture.Limit(plan.upstream.id.c_str(), 100);
  CHECK_FALSE(fixture.core.TakeResend(admitted, plan.upstream, At(3)));
}

// The requests that each upstream gets, and those that are refused, while the
// service changes to the version of `b`.
struct CanaryCounts {
  int a = 0;
  int b = 0;
  int refused = 0;
};

CanaryCounts SendDuringCanary(const char* limited) {
  Fixture fixture;
  for (const char* id : {"a", "b"}) {
    UpstreamEntry entry = *fixture.core.Upstreams().Find(id);
    entry.version = entry.id == "b" ? "v2" : "v1";
    fixture.core.Upstreams().Put(entry);
  }
  const RolloutOrder order{"s", "v2", std::chrono::seconds(20), 1};
  VersionRollouts& rollouts = fixture.core.Rollouts();
  rollouts.SetOrder(order);
  rollouts.SetProgress("s", BeginRollout(order, 1));
  if (limited != nullptr) fixture.Limit(limited, 0);
  CanaryCounts counts;
  for (std::int64_t ms = 0; ms < 2'000; ms += 5) {
    rollouts.SetStoreClock(2'000 + ms, At(ms));
    AdmittedRequest admitted = fixture.Admit(ms);
    auto next = fixture.core.NextSend(admitted, At(ms));
    if (const auto* plan = std::get_if<SendPlan>(&next)) {
      ++(plan->upstream.id == "a" ? counts.a : counts.b);
      fixture.core.OnSendEnded(admitted, *plan, SendOutcome::kAnswered, At(ms));
    } else {
      ++counts.refused;
    }
    fixture.core.Finish(admitted);
  }
  return counts;
}

// Guards against a rollout's share that limits raise: requests of the old
// version that spill over to the new one.
TEST_CASE("limits don't move requests to a new version") {
  const CanaryCounts free = SendDuringCanary(nullptr);
  CHECK(free.a > 0);
  CHECK(free.b > 0);
  CHECK(free.refused == 0);
  // Those of the new version go to the old one.
  const CanaryCounts new_limited = SendDuringCanary("b");
  CHECK(new_limited.b <= 1);
  CHECK(new_limited.refused == 0);
  // Those of the old version are refused.
  const CanaryCounts old_limited = SendDuringCanary("a");
  CHECK(old_limited.b <= free.b);
  CHECK(old_limited.refused > 0);
}

}  // namespace
}  // namespace hornbeamspool::policy
