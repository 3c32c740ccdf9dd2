// The story of a request, from logs.
#include "hornbeamctl/explain.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace hornbeamspool::ctl {
namespace {

TEST_CASE("a value is found by its whole key") {
  const std::string line =
      "t level=INFO event=upstream vm=a upstream=i-1 state=x";
  CHECK(LogValue(line, "upstream") == "i-1");
  CHECK(LogValue(line, "vm") == "a");
  CHECK(LogValue(line, "serve").empty());
  CHECK(LogValue(line, "missing").empty());
}

constexpr const char* kRefusal =
    "00:03Z event=refused vm=a request=r1 reason=budget_unavailable "
    "organisation=t";

TEST_CASE("a refusal is shown with what it depended on, and its cause") {
  const std::vector<std::string> lines{
      kRefusal,
      "00:01Z event=dependency vm=a store=lost table=op",
      "00:00Z event=budget vm=a organisation=t limit=10 spent=9",
      "00:00Z event=budget vm=a organisation=u limit=1 spent=1",
      "00:02Z event=dependency vm=b store=lost table=op",
      "00:04Z event=dependency vm=a store=regained table=op"};
  const std::vector<std::string> story = Explain("r1", lines);
  REQUIRE(story.size() == 4);
  CHECK(story[0].find("event=budget") != std::string::npos);
  CHECK(story[1].find("store=lost") != std::string::npos);
  CHECK(story[2].find("request=r1") != std::string::npos);
  CHECK(story[3].starts_with("cause: budget_unavailable: no tokens"));
  CHECK(Explain("r2", lines).empty());
}

TEST_CASE("each reason that a gateway gives has its cause told") {
  for (const char* reason :
       {"budget_exhausted", "budget_unavailable", "not_ready", "not_found",
        "unauthenticated", "no_upstream", "crash_suspect", "overloaded",
        "upstream_failed", "upstream_timeout"}) {
    const std::vector<std::string> lines{
        "00:03Z event=refused vm=a request=r1 reason=" + std::string(reason)};
    const std::vector<std::string> story = Explain("r1", lines);
    REQUIRE(!story.empty());
    CHECK(story.back().find("does not know") == std::string::npos);
  }
}

}  // namespace
}  // namespace hornbeamspool::ctl
