#include "hornbeamctl/explain.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace hornbeamspool::ctl {
namespace {

// How many lines of each dependency are shown before the request's last one.
constexpr std::size_t kShownBefore = 3;

struct Cause {
  std::string_view word;  // a reason of a refusal, or an outcome of a send
  std::string_view text;
};

constexpr std::array<Cause, 21> kCauses{{
    {"budget_exhausted",
     "the organisation's prepaid tokens can't cover the request at its most"},
    {"budget_unavailable",
     "no tokens of the organisation could be had here in time: see the store's "
     "and "
     "the budget's lines above"},
    {"not_ready", "the VM had no configuration, or could not confirm it"},
    {"not_found", "no route of the host has this path"},
    {"unauthenticated", "no organisation holds the key"},
    {"no_upstream", "no upstream could take the request"},
    {"crash_suspect", "three upstreams went down with this request in hand"},
    {"overloaded", "the VM's link was too slow for the request's target"},
    {"upstream_failed",
     "an upstream may have run the request, and its answer "
     "was lost, broken, or another request's"},
    {"upstream_timeout",
     "an upstream may have run the request, and gave no "
     "answer in time"},
    {"answered", "the upstream's answer was relayed to its end"},
    {"upstream_error", "the upstream answered that it had failed"},
    {"error_relayed",
     "the upstream answered that it had failed, and the caller got that "
     "answer"},
    {"rejected", "the upstream did not run the request"},
    {"misdirected", "another upstream has the address"},
    {"unreachable", "the upstream could not be reached"},
    {"not_listening", "the upstream's address refused the connection"},
    {"no_room", "this VM has its share of the upstream's connections in use"},
    {"broken", "the upstream's answer broke off"},
    {"silent", "the upstream gave no answer in time"},
    {"abandoned", "the caller left"},
}};

std::string_view TextOf(std::string_view word) {
  for (const Cause& cause : kCauses) {
    if (cause.word == word) return cause.text;
  }
  return "a cause that this version does not know";
}

// The time at which a line was written: its first word.
std::string_view TimeOf(std::string_view line) {
  return line.substr(0, line.find(' '));
}

// What the request depended on: the store, the configuration, its upstreams and
// its organisation's budget, at the same VM.
bool Concerns(std::string_view line, std::string_view vm,
              std::string_view upstream, std::string_view organisation) {
  if (LogValue(line, "vm") != vm) return false;
  const std::string_view event = LogValue(line, "event");
  if (event == "dependency" || event == "config") return true;
  if (event == "upstream") return LogValue(line, "upstream") == upstream;
  return event == "budget" && LogValue(line, "organisation") == organisation;
}

}  // namespace

std::string_view LogValue(std::string_view line, std::string_view key) {
  std::size_t at = 0;
  while ((at = line.find(key, at)) != std::string_view::npos) {
    const std::size_t end = at + key.size();
    const bool whole = (at == 0 || line[at - 1] == ' ') && end < line.size() &&
                       line[end] == '=';
    at = end;
    if (!whole) continue;
    const std::string_view value = line.substr(end + 1);
    return value.substr(0, value.find(' '));
  }
  return {};
}

std::vector<std::string> Explain(std::string_view request,
                                 std::span<const std::string> lines) {
  // Step 1: the request's own lines.
  std::vector<std::string> own;
  for (const std::string& line : lines) {
    if (LogValue(line, "request") == request) own.push_back(line);
  }
  if (own.empty()) return {};
  const auto earlier = [](const std::string& a, const std::string& b) {
    return TimeOf(a) < TimeOf(b);
  };
  std::stable_sort(own.begin(), own.end(), earlier);
  const std::string last = own.back();

  // Step 2: the last lines of each dependency before its end.
  std::vector<std::string> before;
  for (const std::string& line : lines) {
    if (TimeOf(line) > TimeOf(last)) continue;
    const bool concerns =
        Concerns(line, LogValue(last, "vm"), LogValue(last, "upstream"),
                 LogValue(last, "organisation"));
    if (concerns) before.push_back(line);
  }
  std::stable_sort(before.begin(), before.end(), earlier);
  std::vector<std::string> story;
  for (const std::string_view event :
       {"config", "dependency", "upstream", "budget"}) {
    std::vector<std::string> latest;
    for (const std::string& line : before) {
      if (LogValue(line, "event") == event) latest.push_back(line);
    }
    const std::size_t skipped =
        latest.size() - std::min(latest.size(), kShownBefore);
    story.insert(story.end(),
                 latest.begin() + static_cast<std::ptrdiff_t>(skipped),
                 latest.end());
  }

  // Step 3: together, and the cause.
  story.insert(story.end(), own.begin(), own.end());
  std::stable_sort(story.begin(), story.end(), earlier);
  const std::string_view reason = LogValue(last, "reason");
  const std::string_view word =
      reason.empty() ? LogValue(last, "outcome") : reason;
  std::string cause = "cause: ";
  cause += word;
  cause += ": ";
  cause += TextOf(word);
  story.push_back(std::move(cause));
  return story;
}

}  // namespace hornbeamspool::ctl
