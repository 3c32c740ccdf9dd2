#include "transport/backoff_message.h"

#include <chrono>
#include <cstdint>
#include <utility>

#include "policy/announced_backoff.h"
#include "transport/datagram.h"
#include "transport/flag.h"
#include "transport/short_string.h"

namespace hornbeamspool::transport {
namespace {

using Notice = policy::UpstreamBackoff::Notice;

// "UBM1"; the last byte is the version of the encoding.
constexpr std::uint32_t kMagic = 0x55424d31;

// Of the notices of one message. The rest of a datagram is for the sender's
// name, the numbers and the MAC.
constexpr std::size_t kMaxNoticeBytes = 1000;
// Lengths, flag and times of one notice.
constexpr std::size_t kNoticeOverheadBytes = 21;
constexpr std::size_t kMaxNotices = kMaxNoticeBytes / kNoticeOverheadBytes;

bool IsTime(std::int64_t milliseconds, coordination::Duration max) {
  return milliseconds >= 0 && milliseconds <= coordination::Milliseconds(max);
}

std::size_t SizeOf(const Notice& notice) {
  return notice.instance.size() + notice.vm.size() + kNoticeOverheadBytes;
}

}  // namespace

template <typename Archive>
void save(Archive& archive, const BackoffMessage& message) {
  BackoffMessage copy = message;
  archive(ShortString{&copy.sender}, copy.query,
          static_cast<std::uint8_t>(copy.notices.size()));
  for (Notice& notice : copy.notices) {
    archive(ShortString{&notice.instance}, ShortString{&notice.vm},
            notice.identified, coordination::Milliseconds(notice.remaining),
            coordination::Milliseconds(notice.age));
  }
}

template <typename Archive>
void load(Archive& archive, BackoffMessage& message) {
  std::uint8_t count = 0;
  archive(ShortString{&message.sender}, Flag{&message.query}, count);
  for (std::uint8_t i = 0; i < count; ++i) {
    Notice notice;
    std::int64_t remaining_ms = 0;
    std::int64_t age_ms = 0;
    archive(ShortString{&notice.instance}, ShortString{&notice.vm},
            Flag{&notice.identified}, remaining_ms, age_ms);
    const bool valid = IsTime(remaining_ms, policy::kMaxPause) &&
                       IsTime(age_ms, policy::UpstreamBackoff::kMaxNoticeAge);
    if (!valid) continue;
    notice.remaining = std::chrono::milliseconds(remaining_ms);
    notice.age = std::chrono::milliseconds(age_ms);
    message.notices.push_back(std::move(notice));
  }
}

std::vector<std::string> EncodeBackoffMessages(
    std::string_view sender, bool query, std::span<const Notice> notices) {
  std::vector<std::string> messages;
  BackoffMessage message{std::string(sender), query, {}};
  std::size_t bytes = 0;
  for (const Notice& notice : notices) {
    const std::size_t size = SizeOf(notice);
    if (size > kMaxNoticeBytes) continue;
    const bool full =
        bytes + size > kMaxNoticeBytes || message.notices.size() == kMaxNotices;
    if (full) {
      messages.push_back(EncodeDatagram(kMagic, message));
      message.notices.clear();
      bytes = 0;
    }
    message.notices.push_back(notice);
    bytes += size;
  }
  messages.push_back(EncodeDatagram(kMagic, message));
  return messages;
}

std::optional<BackoffMessage> DecodeBackoffMessage(std::string_view bytes) {
  return DecodeDatagram<BackoffMessage>(kMagic, bytes);
}

}  // namespace hornbeamspool::transport
