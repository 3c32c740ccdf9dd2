// Load as reported by an upstream itself, in each answer's headers.
#pragma once

#include <cstdint>
#include <optional>

namespace hornbeamspool::policy {

// Bounds of a reported slowness. A value outside is an error of the upstream or
// of the VM that passed it on.
inline constexpr double kMinSlowness = 0.25;
inline constexpr double kMaxSlowness = 10;

struct UpstreamLoad {
  std::int64_t running = 0;  // requests
  std::int64_t waiting = 0;  // queued requests
  std::int64_t slots = 0;    // requests that may run concurrently
  // Time that work takes there now, as a multiple of the usual time. Empty when
  // the upstream doesn't report it.
  std::optional<double> slowness{};
};

}  // namespace hornbeamspool::policy
