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

}  // namespace
}  // namespace hornbeamspool::ctl
