// Rows of the gateway's own tables, with any bytes in them.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

#include "gateway/budget_rows.h"
#include "gateway/crash_rows.h"
#include "gateway/move_rows.h"

namespace hornbeamspool::gateway {
namespace {

// Little-endian, after the byte that names the order of bytes.
std::string Length(std::uint64_t length) {
  std::string bytes(1, '\1');
  for (int i = 0; i < 8; ++i) {
    bytes += static_cast<char>((length >> (8U * i)) & 0xffU);
  }
  return bytes;
}

CrashRow SoundCrashes() {
  return {{{"upstream/1", {1, 2, 3}, 77}, {"upstream/2", {}, 78}}};
}

policy::MoveReport SoundReport() {
  policy::MoveReport report;
  report.order_revision = 9;
  report.phase = policy::MovePhase::kSwitched;
  report.routes["route"].moved.answers = 4;
  report.moved_by_step[2].bad = 1;
  return report;
}

TEST_CASE("sound rows come back as they were written") {
  const auto crashes = DecodeRow<CrashRow>(EncodeRow(SoundCrashes()));
  REQUIRE(crashes);
  REQUIRE(crashes->records.size() == 2);
  CHECK(crashes->records[0].start == "upstream/1");
  CHECK(crashes->records[0].fingerprints.size() == 3);
  CHECK(crashes->records[1].told_ms == 78);
  const auto report = DecodeRow<policy::MoveReport>(EncodeRow(SoundReport()));
  REQUIRE(report);
  CHECK(report->phase == policy::MovePhase::kSwitched);
  CHECK(report->routes.at("route").moved.answers == 4);
  CHECK(report->moved_by_step.at(2).bad == 1);
}

TEST_CASE("a share that an older build wrote keeps its pace at any age") {
  policy::BudgetShare share{7, 1000, 100, 150, 5'000, 50, 200, 20, 2'500};
  std::string bytes = EncodeRow(share);
  const auto now = DecodeRow<policy::BudgetShare>(bytes);
  REQUIRE(now);
  CHECK(now->CapAt(6'000) == 150 + 50 + 20);
  bytes.resize(bytes.size() - 16);
  const auto older = DecodeRow<policy::BudgetShare>(bytes);
  REQUIRE(older);
  CHECK(older->CapAt(6'000) == 150 + 50 + 200);
}

// A length that is believed takes the memory of the VM, or throws what no
// reader of rows expects.
TEST_CASE("a length beyond memory is no row") {
  for (const std::uint64_t length :
       {std::uint64_t{1} << 63U, ~std::uint64_t{0} >> 1U,
        std::uint64_t{1} << 40U, std::uint64_t{100'000'000}}) {
    CHECK_FALSE(DecodeRow<CrashRow>(Length(length)));
    CHECK_FALSE(
        DecodeRow<policy::MoveProgress>(Length(1) + Length(length).substr(1)));
  }
}

TEST_CASE("a phase that is not known is no row") {
  policy::MoveProgress progress;
  progress.phase = policy::MovePhase::kTrial;
  std::string bytes = EncodeRow(progress);
  // Order byte, revision, an empty version's length.
  bytes.at(1 + 8 + 8) = '\x7f';
  CHECK_FALSE(DecodeRow<policy::MoveProgress>(bytes));
}

TEST_CASE("cut and changed rows are read or left, and nothing else") {
  std::mt19937_64 random(20'261'204);
  for (const std::string& sound :
       {EncodeRow(SoundCrashes()), EncodeRow(SoundReport()),
        EncodeRow(policy::MoveProgress{}), EncodeRow(policy::BudgetTotal{}),
        EncodeRow(policy::BudgetShare{})}) {
    for (int i = 0; i < 2000; ++i) {
      std::string bytes = sound;
      const std::size_t changes = 1 + random() % 4;
      for (std::size_t change = 0; change < changes; ++change) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      bytes.resize(random() % (bytes.size() + 1));
      const auto crashes = DecodeRow<CrashRow>(bytes);
      if (crashes) CHECK(crashes->records.size() <= bytes.size());
      const auto report = DecodeRow<policy::MoveReport>(bytes);
      if (report) CHECK(report->phase < policy::MovePhase::kCount);
      DecodeRow<policy::MoveProgress>(bytes);
      DecodeRow<policy::BudgetTotal>(bytes);
      DecodeRow<policy::BudgetShare>(bytes);
    }
  }
}

}  // namespace
}  // namespace hornbeamspool::gateway
