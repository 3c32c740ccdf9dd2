#include "policy/poison_parts.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamspool::policy {
namespace {

using coordination::TimePoint;
using Kind = PoisonPartRecordKind;
using Parts = std::vector<std::uint64_t>;

constexpr std::uint64_t kFirst = 1;  // in all requests
constexpr std::uint64_t kPoison = 7;

TimePoint At(std::int64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

// Sends a request at `ms`, which crashes the instance 10 ms later.
void CrashBy(PoisonParts& poison, const Parts& parts,
             const std::string& instance, std::int64_t ms) {
  poison.OnSent(parts, instance, At(ms));
  poison.OnEndedUnanswered(parts, instance, At(ms), true, At(ms + 10));
  poison.OnCrash(instance, At(ms + 10));
}

// Sends a request at `ms`, whose answer begins 10 ms later.
void AnswerTo(PoisonParts& poison, const Parts& parts, std::int64_t ms) {
  poison.OnSent(parts, "sound", At(ms));
  (void)poison.OnAnswerBegun(parts, "sound", At(ms), At(ms + 10));
}

// Names kPoison.
void Name(PoisonParts& poison) {
  for (std::int64_t i = 0; i < 3; ++i) {
    CrashBy(poison, {kFirst, kPoison}, "u" + std::to_string(i), i * 100);
    AnswerTo(poison, {kFirst, 100}, i * 100 + 50);
  }
}

// A poison part used to be missed, because no two requests with it are alike.
TEST_CASE("the part that three crashes in succession share is named") {
  PoisonParts poison("vm");
  Name(poison);
  CHECK(poison.NamedPart(Parts{kFirst, kPoison}) == kPoison);
  CHECK_FALSE(poison.MaySend(Parts{kFirst, kPoison}, At(300)));
  CHECK(poison.MaySend(Parts{kFirst, 100}, At(300)));
}

TEST_CASE("an answer that began clears the parts of its request") {
  PoisonParts poison("vm");
  for (std::int64_t i = 0; i < 10; ++i) {
    CrashBy(poison, {kFirst, kPoison}, "u" + std::to_string(i), i * 100);
    if (i % 2 == 1) AnswerTo(poison, {kFirst, kPoison}, i * 100 + 20);
  }
  CHECK(poison.NamedCount() == 0);
}

// A send in flight at several crashes of one moment says as much as one crash.
TEST_CASE("simultaneous crashes count once") {
  PoisonParts poison("vm");
  for (int i = 0; i < 9; ++i) {
    poison.OnSent(Parts{kPoison}, "u" + std::to_string(i), At(i));
  }
  for (int i = 0; i < 9; ++i) poison.OnCrash("u" + std::to_string(i), At(20));
  AnswerTo(poison, {kFirst}, 30);
  CHECK(poison.NamedCount() == 0);
}

TEST_CASE("no part is named while no upstream answers") {
  PoisonParts poison("vm");
  for (std::int64_t i = 0; i < 5; ++i) {
    CrashBy(poison, {kFirst, kPoison}, "u" + std::to_string(i), i * 100);
  }
  CHECK(poison.NamedCount() == 0);
  AnswerTo(poison, {kFirst, 100}, 600);
  CHECK(poison.NamedPart(Parts{kPoison}) == kPoison);
  CHECK(poison.NamedPart(Parts{kFirst}) == std::nullopt);
}

TEST_CASE("an upstream's own error clears nothing and is no crash") {
  PoisonParts poison("vm");
  CrashBy(poison, {kPoison}, "u0", 0);
  CrashBy(poison, {kPoison}, "u1", 100);
  poison.OnSent(Parts{kPoison}, "u2", At(200));
  poison.OnEndedUnanswered(Parts{kPoison}, "u2", At(200), false, At(210));
  poison.OnCrash("u2", At(220));
  AnswerTo(poison, {kFirst}, 300);
  CHECK(poison.NamedCount() == 0);
  CrashBy(poison, {kPoison}, "u3", 400);
  CHECK(poison.NamedPart(Parts{kPoison}) == kPoison);
}

// Five crashes may come at five VMs, each of which saw one.
TEST_CASE("crashes that several VMs saw add up, in any order and repeated") {
  PoisonParts poison("vm");
  std::vector<PoisonPartRecord> records;
  for (std::int64_t i = 0; i < 3; ++i) {
    records.push_back({Kind::kCrashed, kPoison, "u" + std::to_string(i),
                       std::chrono::milliseconds(10), At(i * 100 + 10)});
    records.push_back({Kind::kCrashed, kFirst, "u" + std::to_string(i),
                       std::chrono::milliseconds(10), At(i * 100 + 10)});
  }
  records.push_back({Kind::kAnswered, kFirst, {}, {}, At(250)});
  std::reverse(records.begin(), records.end());
  for (int copy = 0; copy < 2; ++copy) {
    poison.Apply(records, At(300));
  }
  CHECK(poison.NamedPart(Parts{kPoison}) == kPoison);
  CHECK(poison.NamedPart(Parts{kFirst}) == std::nullopt);
}

// A sound part that was only ever sent beside the poison one is named with it.
TEST_CASE("a trial clears a sound part that was named beside the poison one") {
  constexpr std::uint64_t kRider = 8;
  PoisonParts poison("vm");
  for (std::int64_t i = 0; i < 3; ++i) {
    CrashBy(poison, {kPoison, kRider}, "u" + std::to_string(i), i * 100);
    AnswerTo(poison, {kFirst}, i * 100 + 50);
  }
  CHECK(poison.NamedCount() == 2);
  CHECK_FALSE(poison.MaySend(Parts{kRider, 100}, At(1'000)));
  CHECK_FALSE(poison.MaySend(Parts{kPoison, kRider}, At(6'000)));
  REQUIRE(poison.MaySend(Parts{kRider, 100}, At(6'000)));
  poison.OnSent(Parts{kRider, 100}, "u9", At(6'000));
  CHECK_FALSE(poison.MaySend(Parts{kRider, 101}, At(6'001)));
  (void)poison.OnAnswerBegun(Parts{kRider, 100}, "u9", At(6'000), At(6'050));
  CHECK(poison.MaySend(Parts{kRider, 101}, At(6'051)));
  CHECK(poison.NamedPart(Parts{kPoison, kRider}) == kPoison);
}

TEST_CASE("a named part is tried twice at most, by one VM of the fleet") {
  std::size_t trials = 0;
  const std::vector<std::string> vms{"a", "b", "c", "d", "e"};
  for (const std::string& vm : vms) {
    PoisonParts poison(vm);
    std::vector<std::string> peers = vms;
    std::erase(peers, vm);
    poison.SetPeers(peers);
    Name(poison);
    for (std::int64_t ms = 1'000; ms < 110'000; ms += 500) {
      if (!poison.MaySend(Parts{kPoison}, At(ms))) {
        poison.OnRefused(Parts{kPoison}, At(ms));
        continue;
      }
      ++trials;
      CrashBy(poison, {kPoison}, "t" + std::to_string(ms), ms);
    }
  }
  CHECK(trials >= 1);
  CHECK(trials <= 2);
}

TEST_CASE("a named part is forgotten only once no request holds it") {
  PoisonParts poison("vm");
  Name(poison);
  for (std::int64_t ms = 1'000; ms < 600'000; ms += 60'000) {
    poison.OnRefused(Parts{kPoison}, At(ms));
    poison.Expire(At(ms + 59'000));
    CHECK(poison.NamedCount() == 1);
  }
  poison.Expire(At(600'000) + PoisonParts::kTimeout);
  CHECK(poison.NamedCount() == 0);
  CHECK(poison.RowRecords(At(800'000)).empty());
}

// At large fleets a VM may see a request with the part only once in minutes.
TEST_CASE("a refusal renews the part at the other VMs") {
  PoisonParts poison("vm");
  Name(poison);
  PoisonParts other("other");
  other.Apply(poison.TakeRecords(At(300)), At(300));
  REQUIRE(other.NamedCount() == 1);
  for (std::int64_t ms = 1'000; ms < 300'000; ms += 10'000) {
    poison.OnRefused(Parts{kPoison}, At(ms));
    other.Apply(poison.TakeRecords(At(ms)), At(ms));
    other.Expire(At(ms));
  }
  CHECK(other.NamedPart(Parts{kPoison}) == kPoison);
}

TEST_CASE("a new process refuses what its predecessor's row names") {
  PoisonParts poison("vm");
  Name(poison);
  PoisonParts next("vm");
  next.Adopt(poison.RowRecords(At(400)), At(400));
  CHECK(next.NamedPart(Parts{kPoison}) == kPoison);
  CHECK(next.RowRecords(At(500)).size() == poison.RowRecords(At(500)).size());
}

TEST_CASE("two poison parts are both named") {
  constexpr std::uint64_t kSecond = 9;
  PoisonParts poison("vm");
  for (std::int64_t i = 0; i < 8; ++i) {
    const std::uint64_t part = i % 2 == 0 ? kPoison : kSecond;
    CrashBy(poison, {kFirst, part}, "u" + std::to_string(i), i * 100);
    AnswerTo(poison, {kFirst}, i * 100 + 50);
  }
  CHECK(poison.NamedPart(Parts{kPoison}) == kPoison);
  CHECK(poison.NamedPart(Parts{kSecond}) == kSecond);
  CHECK(poison.NamedCount() == 2);
}

TEST_CASE("many parts keep a bounded number of suspects and records") {
  PoisonParts poison("vm");
  Name(poison);
  std::uint64_t part = 1'000;
  for (std::int64_t i = 0; i < 1'000; ++i) {
    Parts parts;
    for (int k = 0; k < 32; ++k) parts.push_back(++part);
    CrashBy(poison, parts, "c" + std::to_string(i), 1'000 + i);
  }
  CHECK(poison.SuspectedCount() <= 4'096);
  CHECK(poison.RowRecords(At(3'000)).size() <= 401);
  CHECK(poison.NamedPart(Parts{kPoison}) == kPoison);
}

}  // namespace
}  // namespace hornbeamspool::policy
