// The most requests a second that an upstream takes from all VMs together, as
// it announces it in its answers.
#pragma once

#include <cstdint>

namespace hornbeamspool::policy {

// Higher rates, in requests a second, are treated as this one.
inline constexpr double kMaxAnnouncedRate = 1e6;

struct AnnouncedRate {
  enum class Kind : std::uint8_t {
    kUnlimited,  // the answer names no limit
    kLimited,
    kMalformed,  // the answer names a limit that can't be parsed
    kCount
  };
  Kind kind = Kind::kUnlimited;
  double per_second = 0;  // 0 to kMaxAnnouncedRate

  friend bool operator==(const AnnouncedRate&, const AnnouncedRate&) = default;
};

}  // namespace hornbeamspool::policy
