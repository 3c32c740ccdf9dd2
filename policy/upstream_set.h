// The upstreams known to this node and the choice among them.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// One entry of the registry of upstreams.
struct ListedUpstream {
  std::string name;
  std::string service;
  std::string version;
  std::string availability_zone;
  std::string address;  // host:port
  bool draining = false;
};

// What an upstream reports of its load. Reports lag.
struct LoadReport {
  std::string upstream;
  std::int64_t held_tokens = 0;      // tokens in its memory now
  std::int64_t capacity_tokens = 0;  // 0 when it does not say
  std::int64_t waiting = 0;          // requests not yet running
};

struct Upstream {
  ListedUpstream listed;
  LoadReport report;
  std::int64_t held_tokens = 0;  // worst case of this node's open requests
  std::int64_t open_requests = 0;
  coordination::TimePoint ejected_until{};
};

// What a request asks of an upstream.
struct UpstreamDemand {
  std::string_view service;
  std::string_view version;  // empty: any
  std::string_view availability_zone;
  std::int64_t tokens = 0;  // worst case held in the upstream's memory
  std::span<const std::string> excluded;
};

class UpstreamSet {
 public:
  // Replaces the list. Open requests of upstreams that stay are kept. Returns
  // the names that were added, removed or changed their state.
  std::vector<std::string> SetListed(std::span<const ListedUpstream> listed);

  void SetReport(const LoadReport& report);

  // The best upstream for the demand; null when none can take it. Leaving
  // upstreams are never chosen. Prefers the caller's zone, then the smallest
  // share of memory held.
  const Upstream* Choose(const UpstreamDemand& demand,
                         coordination::TimePoint now) const;

  // Counts an opened or closed request of `tokens` worst case.
  void Open(std::string_view name, std::int64_t tokens);
  void Close(std::string_view name, std::int64_t tokens);

  // Avoids an upstream that could not be reached or failed.
  void MarkFailed(std::string_view name, coordination::TimePoint now);

  const std::map<std::string, Upstream, std::less<>>& All() const {
    return this->upstreams;
  }

 private:
  std::map<std::string, Upstream, std::less<>> upstreams;
};

}  // namespace hornbeamspool::policy
