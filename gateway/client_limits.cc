#include "gateway/client_limits.h"

#include <algorithm>
#include <cstdint>

#include "gateway/context.h"
#include "gateway/event_log.h"
#include "hornbeamspool/metrics.h"
#include "http/client_memory.h"
#include "http/clock.h"
#include "policy/event.h"
#include "settings/gateway_settings.h"

namespace hornbeamspool::gateway {
namespace {

constexpr double kBytesPerMb = 1 << 20;

policy::MemoryLimits MemoryLimitsOf(const settings::GatewaySettings& settings) {
  return policy::MemoryLimitsFor(
      static_cast<std::int64_t>(settings.memory_mb * kBytesPerMb),
      static_cast<std::int64_t>(settings.clients.memory_mb * kBytesPerMb));
}

}  // namespace

http::ServerLimits CallerServerLimits(const settings::GatewaySettings& settings,
                                      const policy::CallerLimits& limits) {
  http::ServerLimits server_limits;
  server_limits.header_timeout = limits.header_timeout;
  server_limits.idle_timeout = limits.idle_timeout;
  server_limits.body_timeout = settings.clients.body_timeout;
  server_limits.progress_timeout = settings.clients.progress_timeout;
  server_limits.max_header_bytes =
      static_cast<std::uint32_t>(limits.header_bytes);
  server_limits.max_body_bytes = static_cast<std::uint64_t>(limits.body_bytes);
  server_limits.max_framing_bytes =
      static_cast<std::uint64_t>(settings.clients.framing_bytes);
  server_limits.max_connections =
      static_cast<std::size_t>(settings.clients.max_connections);
  server_limits.max_connections_per_address =
      static_cast<std::size_t>(settings.clients.max_connections_per_address);
  return server_limits;
}

http::ServerLimits InternalServerLimits() {
  http::ServerLimits limits;
  limits.max_connections = 64;
  limits.max_body_bytes = 64 * 1024;
  return limits;
}

std::shared_ptr<http::ClientMemory> MakeClientMemory(
    boost::asio::io_context& io, const settings::GatewaySettings& settings) {
  return std::make_shared<http::ClientMemory>(io, MemoryLimitsOf(settings));
}

// A tunnel takes two descriptors. Callers of this VM come first.
std::size_t MaxTunnels(const settings::GatewaySettings& settings) {
  constexpr std::int64_t kDescriptorDivisor = 8;
  return static_cast<std::size_t>(
      std::max<std::int64_t>(1, settings.descriptors / kDescriptorDivisor));
}

std::string FindContradiction(const settings::GatewaySettings& settings,
                              const policy::CallerLimits& limits) {
  const std::int64_t room = policy::MaxBodyBytes(MemoryLimitsOf(settings));
  if (limits.body_bytes <= room) return {};
  return "limits.max_body_bytes is " + std::to_string(limits.body_bytes) +
         ", but clients.memory_mb has room for a body of " +
         std::to_string(room) + " bytes";
}

http::RejectObserver MakeRejectObserver(const Context& context) {
  return [context](http::RejectReason reason, std::string_view peer) {
    context.metrics->AddRejection(reason);
    context.log->Write(LogKind::kClient,
                       policy::KeyValue("rejected", http::NameOf(reason)) +
                           ' ' + policy::KeyValue("peer", peer),
                       Now());
  };
}

}  // namespace hornbeamspool::gateway
