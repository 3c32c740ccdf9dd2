#include "policy/overload/overload_request.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

#include "coordination/rendezvous.h"
#include "policy/overload/yield_order.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;

constexpr std::int64_t kOutputTokenWork = 8;

// Heads of a request and of its response, with their packets' headers.
constexpr std::int64_t kHeadBytes = 1'400;
// One event in a packet of its own.
constexpr std::int64_t kEventBytes = 300;
// Body of a response that is not a stream.
constexpr std::int64_t kAnswerBytes = 800;

// Callers honour a third of the time that they have left; a tenth of it is
// kept as a margin for the way to the caller and back.
constexpr double kHonouredFraction = 0.3;

}  // namespace

std::string_view OverloadReasonName(OverloadReason reason) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(OverloadReason::kCount)>
      kNames{"none", "deadline", "priority", "fair_share", "link_delay", "vm"};
  return kNames.at(static_cast<std::size_t>(reason));
}

std::int64_t EngineWork(std::int64_t prompt_tokens,
                        std::int64_t output_tokens) {
  return std::max<std::int64_t>(
      1, prompt_tokens + kOutputTokenWork * output_tokens);
}

std::int64_t LinkBytes(std::int64_t body_bytes, std::int64_t output_tokens,
                       std::int64_t tokens_per_event) {
  const std::int64_t per_event = std::max<std::int64_t>(1, tokens_per_event);
  const std::int64_t events = (output_tokens + per_event - 1) / per_event;
  return kHeadBytes + body_bytes +
         (events > 0 ? events * kEventBytes : kAnswerBytes);
}

double UniformDraw(std::string_view request_id, std::uint64_t seed) {
  constexpr std::uint64_t kSteps = 1U << 20U;
  return static_cast<double>(coordination::StableHash(request_id, seed) %
                             kSteps) /
         static_cast<double>(kSteps);
}

Duration AddJitter(Duration after, std::string_view request_id) {
  const std::uint64_t hash = coordination::StableHash(request_id);
  constexpr std::uint64_t kSteps = 64;
  return after + after / 2 * static_cast<std::int64_t>(hash % kSteps) /
                     static_cast<std::int64_t>(kSteps);
}

Duration SpreadRetryAfter(const OverloadRequest& request, Duration shortest,
                          Duration span) {
  constexpr std::uint64_t kSeed = 0x5e7;
  const auto max = std::chrono::duration_cast<Duration>(kHonouredFraction *
                                                        request.time_left);
  span = std::max(Duration(0), std::min(span, max - shortest));
  const std::int64_t priority = std::clamp<std::int64_t>(
      request.priority, 0, YieldOrder::kPriorities - 1);
  const double place =
      (static_cast<double>(priority) + UniformDraw(request.id, kSeed)) /
      YieldOrder::kPriorities;
  return shortest + std::chrono::duration_cast<Duration>(place * span);
}

}  // namespace hornbeamspool::policy
