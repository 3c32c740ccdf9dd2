#include "policy/link_meter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

constexpr std::int64_t kMicroseconds = 1'000'000;

// The load is averaged over about this time.
constexpr double kLoadSeconds = 1.0;

// Traffic comes in bursts: a link that is half full over a second queues. The
// distance is hysteresis: a balancer takes two seconds to follow.
constexpr double kCrowdedShare = 0.6;
constexpr double kCalmShare = 0.35;

// Headers of a packet, and those of the acknowledgement of one that went the
// other way.
constexpr std::int64_t kPacketBytes = 132;

}  // namespace

double LinkMeter::ShareOf(const Load& load, TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - load.at).count();
  return load.share * std::exp(-std::max(0.0, seconds) / kLoadSeconds);
}

void LinkMeter::Count(Load& load, std::int64_t bytes, TimePoint now) const {
  load.share = this->ShareOf(load, now) +
               static_cast<double>(bytes) /
                   (static_cast<double>(this->bytes_per_second) * kLoadSeconds);
  load.at = now;
}

void LinkMeter::AddSent(std::int64_t bytes, TimePoint now) {
  if (this->bytes_per_second <= 0) return;
  bytes += kPacketBytes;
  this->free_at = std::max(this->free_at, now) +
                  Duration(bytes * kMicroseconds / this->bytes_per_second);
  this->Count(this->sent, bytes, now);
}

void LinkMeter::AddReceived(std::int64_t bytes, TimePoint now) {
  if (this->bytes_per_second <= 0) return;
  this->Count(this->received, bytes + kPacketBytes, now);
}

Duration LinkMeter::QueueDelay(TimePoint now) const {
  return std::max(Duration(0), this->free_at - now);
}

bool LinkMeter::IsCongested(TimePoint now) {
  const double share = std::max(this->ShareOf(this->sent, now),
                                this->ShareOf(this->received, now));
  if (share > kCrowdedShare) this->crowded = true;
  if (share < kCalmShare) this->crowded = false;
  return this->crowded;
}

}  // namespace hornbeamspool::policy
