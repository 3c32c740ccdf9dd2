#include "policy/link_meter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

// Time constant of the average.
constexpr double kAverageSeconds = 1.0;

// Traffic is bursty: a link that is half full over a second already queues. The
// thresholds are apart because the load balancer takes two seconds to react.
constexpr double kCongestedFraction = 0.6;
constexpr double kRecoveredFraction = 0.35;

// Overhead of each message: headers of a packet, and of the acknowledgement of
// a packet in the other direction.
constexpr std::int64_t kOverheadBytes = 132;

}  // namespace

double LinkMeter::FractionAt(const Utilisation& utilisation,
                             TimePoint now) const {
  const double seconds =
      std::chrono::duration<double>(now - utilisation.at).count();
  return utilisation.fraction *
         std::exp(-std::max(0.0, seconds) / kAverageSeconds);
}

void LinkMeter::AddBytes(Utilisation& utilisation, std::int64_t bytes,
                         TimePoint now) const {
  utilisation.fraction =
      this->FractionAt(utilisation, now) +
      static_cast<double>(bytes) /
          (static_cast<double>(this->bytes_per_second) * kAverageSeconds);
  utilisation.at = now;
}

void LinkMeter::AddSent(std::int64_t bytes, TimePoint now) {
  if (this->bytes_per_second <= 0) return;
  bytes += kOverheadBytes;
  this->queue_empty_at =
      std::max(this->queue_empty_at, now) +
      Duration(bytes * kMicrosecondsPerSecond / this->bytes_per_second);
  this->AddBytes(this->sent, bytes, now);
  this->sent_bytes += bytes;
}

void LinkMeter::AddReceived(std::int64_t bytes, TimePoint now) {
  if (this->bytes_per_second <= 0) return;
  this->AddBytes(this->received, bytes + kOverheadBytes, now);
  this->received_bytes += bytes + kOverheadBytes;
}

Duration LinkMeter::QueueDelay(TimePoint now) const {
  return std::max(Duration(0), this->queue_empty_at - now);
}

double LinkMeter::UtilisationAt(TimePoint now) const {
  return std::max(this->FractionAt(this->sent, now),
                  this->FractionAt(this->received, now));
}

std::int64_t LinkMeter::TakeCarriedBytes() {
  return std::max(std::exchange(this->sent_bytes, 0),
                  std::exchange(this->received_bytes, 0));
}

bool LinkMeter::IsCongested(TimePoint now) {
  const double fraction = this->UtilisationAt(now);
  if (fraction > kCongestedFraction) this->congested = true;
  if (fraction < kRecoveredFraction) this->congested = false;
  return this->congested;
}

}  // namespace hornbeamspool::policy
