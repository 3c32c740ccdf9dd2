// Indexes one gateway configuration: routes by host and longest path prefix,
// organisations by API key, services by name.
#pragma once

#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/gateway_config.h"

namespace hornbeamspool::policy {

class RouteTable {
 public:
  explicit RouteTable(GatewayConfig config);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // The host's route with the longest prefix of `path`; null when none matches.
  // A port in `host` is ignored.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // The organisation that owns an API key; null when the key is unknown.
  const GatewayOrganisation* FindOrganisation(std::string_view key) const;
  // Null when there is no such service.
  const Service* FindService(std::string_view name) const;

  const GatewayConfig& Config() const { return this->config; }
  // Whether requests to routes that are not public need an API key.
  bool NeedsKeys() const { return !this->config.organisations.empty(); }

 private:
  GatewayConfig config;
  // Keys and values point into `config`. A host's routes are sorted by prefix,
  // the longest first.
  std::unordered_map<std::string_view, std::vector<const Route*>> routes;
  std::unordered_map<std::string_view, const GatewayOrganisation*>
      organisations;
};

}  // namespace hornbeamspool::policy
