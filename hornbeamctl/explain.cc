#include "hornbeamctl/explain.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace hornbeamspool::ctl {
namespace {

// Lines shown for each kind of dependency.
constexpr std::size_t kMaxLinesPerDependency = 3;

struct Cause {
  std::string_view code;  // `reason` of a refusal or `outcome` of an attempt
  std::string_view text;
};

constexpr std::array<Cause, 29> kCauses{{
    {"budget_exhausted",
     "the organisation's prepaid tokens can't cover the request's maximum "
     "cost"},
    {"budget_unavailable",
     "no tokens of the organisation's budget could be drawn at this VM in "
     "time; see the lines on the store and the budget above"},
    {"not_ready",
     "the VM had no configuration, or could not confirm it with the store"},
    {"not_found", "no route of the request's host matches its path"},
    {"unauthenticated", "the API key belongs to no organisation"},
    {"no_upstream", "no upstream could accept the request"},
    {"upstream_rate_limited",
     "all upstreams were at the rate limits that they announce"},
    {"upstream_backoff",
     "all upstreams leave or had asked this VM for a pause"},
    {"crash_suspect",
     "three upstreams crashed while this request was in flight"},
    {"poison_part",
     "upstreams crashed when they began to answer requests with a part of this "
     "prompt; the lines on the part above name them"},
    {"overloaded",
     "the VM's link was too slow to meet the request's latency target"},
    {"vm_overloaded",
     "the VM's link, descriptors or processor were short, and the request "
     "yielded by its priority and size; the lines on the load above name the "
     "resource"},
    {"shed_by_priority",
     "the service's upstreams were short, and the request yielded to more "
     "urgent or smaller ones (priority, shed_percent)"},
    {"over_fair_share",
     "capacity was short, and the organisation had used its share of it"},
    {"deadline_unreachable",
     "no upstream could have ended the answer in the time that was left"},
    {"upstream_failed",
     "an upstream may have run the request, and its response was lost, "
     "malformed or meant for another request"},
    {"upstream_timeout",
     "an upstream may have run the request, and did not respond in time"},
    {"answered", "the upstream's response was relayed completely"},
    {"upstream_error", "the upstream responded with a server error"},
    {"error_relayed",
     "the upstream responded with a server error, which was relayed to the "
     "caller"},
    {"rejected", "the upstream rejected the request without running it"},
    {"misdirected", "the address belongs to another upstream now"},
    {"unreachable", "the upstream could not be reached"},
    {"not_listening", "the upstream's address refused the connection"},
    {"no_room",
     "this VM already uses its whole share of the upstream's connections"},
    {"withheld",
     "the upstream leaves, or has asked this VM for a pause; see the lines on "
     "it above"},
    {"broken",
     "the upstream's response was cut off, malformed or meant for another "
     "request"},
    {"silent", "the upstream did not respond in time"},
    {"abandoned", "the caller disconnected"},
}};

std::string_view CauseText(std::string_view code) {
  for (const Cause& cause : kCauses) {
    if (cause.code == code) return cause.text;
  }
  return "a cause that this version of hornbeamctl does not know";
}

// The timestamp of a log line, which is its first word.
std::string_view Timestamp(std::string_view line) {
  return line.substr(0, line.find(' '));
}

// What the figures of a budget in a refusal's line say; empty without figures.
std::string_view BudgetText(std::string_view state) {
  if (state == "used_up") {
    return "; what is left everywhere does not cover the request";
  }
  if (state == "out_of_reach") {
    return "; tokens are left that this VM could not draw in time";
  }
  if (state == "unknown") {
    return "; the VM had not read the budget's rows: see the home's line with "
           "outcome=exhausted above";
  }
  return {};
}

// Whether the line is about something that a request depends on at this VM: the
// store, the configuration, its upstream, its organisation's budget, the part
// of its prompt that it was refused for, or upstreams that took nothing.
bool IsDependencyLine(std::string_view line, std::string_view request_line) {
  const auto matches = [&](std::string_view key, std::string_view request_key) {
    return LogValue(line, key) == LogValue(request_line, request_key);
  };
  const std::string_view event = LogValue(line, "event");
  // A home's reply that the budget is used up decides at other VMs.
  const bool is_home_reply =
      event == "budget" && LogValue(line, "outcome") == "exhausted" &&
      LogValue(request_line, "reason") == "budget_exhausted";
  if (!is_home_reply && !matches("vm", "vm")) return false;
  if (event == "dependency" || event == "config") return true;
  if (event == "overload") {
    const std::string_view route = LogValue(line, "route");
    return !LogValue(request_line, "shed_percent").empty() &&
           (route.empty() ? matches("organisation", "organisation")
                          : matches("route", "route"));
  }
  if (event == "upstream") {
    const std::string_view state = LogValue(line, "state");
    const bool explains_backoff =
        LogValue(request_line, "reason") == "upstream_backoff" &&
        (state == "leaving" || state == "paused");
    return explains_backoff || matches("upstream", "upstream");
  }
  if (event == "part" || event == "poison_part") {
    return matches("part", "poison_part");
  }
  return event == "budget" && matches("organisation", "organisation");
}

}  // namespace

std::string_view LogValue(std::string_view line, std::string_view key) {
  std::size_t at = 0;
  while ((at = line.find(key, at)) != std::string_view::npos) {
    const std::size_t end = at + key.size();
    const bool is_key = (at == 0 || line[at - 1] == ' ') && end < line.size() &&
                        line[end] == '=';
    at = end;
    if (!is_key) continue;
    const std::string_view value = line.substr(end + 1);
    return value.substr(0, value.find(' '));
  }
  return {};
}

std::vector<std::string> Explain(std::string_view request,
                                 std::span<const std::string> lines) {
  // Collect the request's own lines.
  std::vector<std::string> request_lines;
  for (const std::string& line : lines) {
    if (LogValue(line, "request") == request) request_lines.push_back(line);
  }
  if (request_lines.empty()) return {};
  const auto earlier = [](const std::string& a, const std::string& b) {
    return Timestamp(a) < Timestamp(b);
  };
  std::stable_sort(request_lines.begin(), request_lines.end(), earlier);
  const std::string last = request_lines.back();

  // Collect the latest lines of each dependency up to the request's last line.
  std::vector<std::string> dependency_lines;
  for (const std::string& line : lines) {
    if (Timestamp(line) > Timestamp(last)) continue;
    if (IsDependencyLine(line, last)) dependency_lines.push_back(line);
  }
  std::stable_sort(dependency_lines.begin(), dependency_lines.end(), earlier);
  std::vector<std::string> explanation;
  for (const std::string_view event :
       {"config", "dependency", "overload", "upstream", "part", "poison_part",
        "budget"}) {
    std::vector<std::string> latest;
    for (const std::string& line : dependency_lines) {
      if (LogValue(line, "event") == event) latest.push_back(line);
    }
    const std::size_t skipped =
        latest.size() - std::min(latest.size(), kMaxLinesPerDependency);
    explanation.insert(explanation.end(),
                       latest.begin() + static_cast<std::ptrdiff_t>(skipped),
                       latest.end());
  }

  // Merge them by time and append the cause.
  explanation.insert(explanation.end(), request_lines.begin(),
                     request_lines.end());
  std::stable_sort(explanation.begin(), explanation.end(), earlier);
  const std::string_view reason = LogValue(last, "reason");
  const std::string_view code =
      reason.empty() ? LogValue(last, "outcome") : reason;
  std::string cause = "cause: ";
  cause += code;
  cause += ": ";
  cause += CauseText(code);
  if (code == "budget_exhausted" || code == "budget_unavailable") {
    cause += BudgetText(LogValue(last, "budget"));
  }
  explanation.push_back(std::move(cause));
  return explanation;
}

}  // namespace hornbeamspool::ctl
