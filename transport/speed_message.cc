#include "transport/speed_message.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>

#include "transport/datagram.h"

namespace hornbeamspool::transport {
namespace {

using policy::LoadNotice;
using policy::SpeedNotice;
using Observed = policy::RateEstimate::Observed;

// "USM1"; the last byte is the version of the encoding.
constexpr std::uint32_t kMagic = 0x55534d31;

// Units of the encoded numbers.
constexpr double kNanosecondsPerMs = 1e6;   // of a prompt token
constexpr double kMicrosecondsPerMs = 1e3;  // of an event or a request
constexpr double kHundredths = 100;         // of a slowness; 0: not known
constexpr double kWeightSteps = 10;         // of an observation

template <typename Integer>
Integer Scaled(double value, double scale) {
  constexpr double kMax = std::numeric_limits<Integer>::max();
  if (!std::isfinite(value)) return 0;
  return static_cast<Integer>(std::clamp(std::round(value * scale), 0.0, kMax));
}

template <typename Archive>
void SaveLoad(Archive& archive, const LoadNotice& notice) {
  archive(notice.instance,
          Scaled<std::uint16_t>(static_cast<double>(notice.load.running), 1),
          Scaled<std::uint16_t>(static_cast<double>(notice.load.waiting), 1),
          Scaled<std::uint16_t>(notice.load.slowness.value_or(0), kHundredths),
          Scaled<std::uint16_t>(
              static_cast<double>(coordination::Milliseconds(notice.age)), 1));
}

template <typename Archive>
LoadNotice LoadLoad(Archive& archive) {
  LoadNotice notice;
  std::uint16_t running = 0;
  std::uint16_t waiting = 0;
  std::uint16_t hundredths = 0;
  std::uint16_t age_ms = 0;
  archive(notice.instance, running, waiting, hundredths, age_ms);
  notice.load.running = running;
  notice.load.waiting = waiting;
  if (hundredths > 0) notice.load.slowness = hundredths / kHundredths;
  notice.age = std::chrono::milliseconds(age_ms);
  return notice;
}

template <typename Archive>
void SaveObserved(Archive& archive, const Observed& observed, double scale) {
  archive(Scaled<std::uint32_t>(observed.ms, scale),
          Scaled<std::uint8_t>(observed.weight, kWeightSteps));
}

template <typename Archive>
Observed LoadObserved(Archive& archive, double scale) {
  std::uint32_t value = 0;
  std::uint8_t weight = 0;
  archive(value, weight);
  if (value == 0) return {};
  return {value / scale, weight / kWeightSteps};
}

}  // namespace
}  // namespace hornbeamspool::transport

namespace hornbeamspool::policy {

template <typename Archive>
void save(Archive& archive, const SpeedMessage& message) {
  archive(static_cast<std::uint8_t>(message.loads.size()),
          static_cast<std::uint8_t>(message.speeds.size()));
  for (const LoadNotice& notice : message.loads) {
    transport::SaveLoad(archive, notice);
  }
  for (const SpeedNotice& notice : message.speeds) {
    archive(notice.instance);
    transport::SaveObserved(archive, notice.report.prefill,
                            transport::kNanosecondsPerMs);
    transport::SaveObserved(archive, notice.report.event,
                            transport::kMicrosecondsPerMs);
    transport::SaveObserved(archive, notice.report.request,
                            transport::kMicrosecondsPerMs);
  }
}

template <typename Archive>
void load(Archive& archive, SpeedMessage& message) {
  std::uint8_t loads = 0;
  std::uint8_t speeds = 0;
  archive(loads, speeds);
  for (std::uint8_t i = 0; i < loads; ++i) {
    LoadNotice notice = transport::LoadLoad(archive);
    if (notice.age > kMaxLoadNoticeAge) continue;
    message.loads.push_back(notice);
  }
  for (std::uint8_t i = 0; i < speeds; ++i) {
    SpeedNotice notice;
    archive(notice.instance);
    notice.report.prefill =
        transport::LoadObserved(archive, transport::kNanosecondsPerMs);
    notice.report.event =
        transport::LoadObserved(archive, transport::kMicrosecondsPerMs);
    notice.report.request =
        transport::LoadObserved(archive, transport::kMicrosecondsPerMs);
    if (notice.report.Any()) message.speeds.push_back(notice);
  }
}

}  // namespace hornbeamspool::policy

namespace hornbeamspool::transport {

std::string EncodeSpeedMessage(const policy::SpeedMessage& message) {
  policy::SpeedMessage bounded = message;
  bounded.loads.resize(std::min(bounded.loads.size(), policy::kMaxLoadNotices));
  bounded.speeds.resize(
      std::min(bounded.speeds.size(), policy::kMaxSpeedNotices));
  return EncodeDatagram(kMagic, bounded);
}

std::optional<policy::SpeedMessage> DecodeSpeedMessage(std::string_view bytes) {
  return DecodeDatagram<policy::SpeedMessage>(kMagic, bytes);
}

}  // namespace hornbeamspool::transport
