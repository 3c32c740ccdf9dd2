// A gateway's configuration with one idempotent route, for tests.
#pragma once

#include "coordination/time.h"
#include "policy/gateway_config.h"

namespace hornbeamspool::policy {

// Host `h`, all paths, service `s`, no organisations.
inline GatewayConfig OneRouteConfig(coordination::Duration timeout,
                                    coordination::Duration target_latency) {
  GatewayConfig config;
  config.version = 1;
  Route route;
  route.name = "r";
  route.host = "h";
  route.prefix = "/";
  route.kind = RouteKind::kIdempotent;
  route.timeout = timeout;
  route.target_latency = target_latency;
  route.attempts = 2;
  route.shares = {{"s", 1}};
  config.routes = {route};
  Service service;
  service.name = "s";
  config.services.emplace("s", service);
  return config;
}

}  // namespace hornbeamspool::policy
