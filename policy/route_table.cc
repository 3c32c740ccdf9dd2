#include "policy/route_table.h"

#include <algorithm>
#include <utility>

namespace hornbeamspool::policy {

RouteTable::RouteTable(GatewayConfig config) : config(std::move(config)) {
  for (const Route& route : this->config.routes) {
    this->routes[route.host].push_back(&route);
  }
  for (auto& [host, routes] : this->routes) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  for (const GatewayOrganisation& organisation : this->config.organisations) {
    for (const std::string& key : organisation.keys) {
      this->organisations[key] = &organisation;
    }
  }
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  const auto found = this->routes.find(host.substr(0, host.find(':')));
  if (found == this->routes.end()) return nullptr;
  for (const Route* route : found->second) {
    if (path.starts_with(route->prefix)) return route;
  }
  return nullptr;
}

const GatewayOrganisation* RouteTable::FindOrganisation(
    std::string_view key) const {
  const auto found = this->organisations.find(key);
  return found == this->organisations.end() ? nullptr : found->second;
}

const Service* RouteTable::FindService(std::string_view name) const {
  const auto found = this->config.services.find(name);
  return found == this->config.services.end() ? nullptr : &found->second;
}

}  // namespace hornbeamspool::policy
