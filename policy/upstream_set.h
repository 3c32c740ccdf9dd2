// Tracks the upstreams known to this node and selects one for each request.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// An upstream as registered in the registry.
struct ListedUpstream {
  std::string name;
  std::string service;
  std::string version;
  std::string availability_zone;
  std::string address;  // host:port
  bool draining = false;
  std::string instance{};  // one run of the process; empty: the name

  const std::string& InstanceId() const {
    return this->instance.empty() ? this->name : this->instance;
  }
};

// Load as reported by the upstream itself. Reports arrive with a delay.
struct LoadReport {
  std::string upstream;
  std::int64_t kv_tokens = 0;        // in its KV cache
  std::int64_t capacity_tokens = 0;  // 0: not reported
  std::int64_t waiting = 0;          // queued requests
};

struct Upstream {
  ListedUpstream listed;
  LoadReport report;
  std::int64_t kv_tokens = 0;  // upper bound, of this node's open requests
  std::int64_t open_requests = 0;
  coordination::TimePoint ejected_until{};
};

// What a request needs from an upstream.
struct UpstreamDemand {
  std::string_view service;
  std::string_view version;  // empty: any
  std::string_view availability_zone;
  std::int64_t tokens = 0;  // upper bound, in the upstream's KV cache
  std::span<const std::string> excluded;
};

class UpstreamSet {
 public:
  // Replaces the list; upstreams that remain keep their counts of open
  // requests. Returns the names of those added, removed or changed.
  std::vector<std::string> SetListed(std::span<const ListedUpstream> listed);

  void SetReport(const LoadReport& report);

  // The upstreams that serve the demand and may get new work: of its service
  // and version, neither draining nor excluded.
  std::vector<const Upstream*> Eligible(const UpstreamDemand& demand) const;

  // The least loaded upstream that has room for the demand; null when there is
  // none. Load is the used fraction of the KV cache, plus penalties for queued
  // requests and for another availability zone. Never returns a draining
  // upstream; returns an ejected one only when all others are ejected or full.
  const Upstream* Select(const UpstreamDemand& demand,
                         coordination::TimePoint now) const;

  // Counts a request that begins or ends, with at most `tokens` tokens.
  void BeginRequest(std::string_view name, std::int64_t tokens);
  void EndRequest(std::string_view name, std::int64_t tokens);

  // Ejects an upstream for 2 s after it failed or could not be reached.
  void MarkFailed(std::string_view name, coordination::TimePoint now);

  const std::map<std::string, Upstream, std::less<>>& All() const {
    return this->upstreams;
  }

 private:
  std::map<std::string, Upstream, std::less<>> upstreams;
};

}  // namespace hornbeamspool::policy
