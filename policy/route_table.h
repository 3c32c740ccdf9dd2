// Looks up routes by host and longest prefix, and organisations by key, in one
// configuration.
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

  // The route of the host with the longest prefix that begins the path; null
  // when there is none. A port in `host` is ignored.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const GatewayOrganisation* FindOrganisation(std::string_view key) const;
  const Service* FindService(std::string_view name) const;

  const GatewayConfig& Config() const { return this->config; }
  bool NeedsKeys() const { return !this->config.organisations.empty(); }

 private:
  GatewayConfig config;
  // Views into `config`. Routes of one host, the longest prefix first.
  std::unordered_map<std::string_view, std::vector<const Route*>> routes;
  std::unordered_map<std::string_view, const GatewayOrganisation*>
      organisations;
};

}  // namespace hornbeamspool::policy
