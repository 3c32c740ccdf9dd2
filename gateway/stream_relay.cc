#include "gateway/stream_relay.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

#include "hornbeamspool/clock.h"
#include "platform/request_headers.h"

namespace hornbeamspool::gateway {
namespace {

using policy::SendOutcome;

// An engine's event is less than 1 KB, so the buffer holds several.
constexpr std::size_t kReadBufferBytes = 4096;

constexpr std::string_view kIdField = "id:";

// Returns the event's id; empty when it has none or a non-numeric one.
std::optional<std::int64_t> EventIdOf(std::string_view raw) {
  while (!raw.empty()) {
    std::string_view line = raw.substr(0, raw.find('\n'));
    raw.remove_prefix(std::min(raw.size(), line.size() + 1));
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) line.remove_prefix(1);
    std::int64_t id = 0;
    const auto result =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (result.ec == std::errc{}) return id;
    return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

http::Task<SendOutcome> StreamRelay::Run() {
  std::array<char, kReadBufferBytes> buffer{};
  while (true) {
    const http::ReadResult read = co_await this->stream->Read(buffer);
    if (read.status == http::FetchStatus::kTimeout) {
      co_return SendOutcome::kSilent;
    }
    if (read.status != http::FetchStatus::kOk) co_return SendOutcome::kBroken;
    if (read.count == 0) break;
    this->core->Link().AddReceived(static_cast<std::int64_t>(read.count),
                                   Now());
    if (!this->reader.Feed({buffer.data(), read.count})) {
      co_return SendOutcome::kBroken;
    }
    while (const auto event = this->reader.Next()) this->QueueEvent(event->raw);
    if (!co_await this->Flush()) co_return SendOutcome::kAbandoned;
  }
  // A stream that ends in the middle of an event was cut off.
  if (this->reader.HasPartialEvent()) co_return SendOutcome::kBroken;
  if (!this->admitted->started) co_return SendOutcome::kBroken;
  const bool ended = co_await this->exchange->EndStream();
  co_return ended ? SendOutcome::kAnswered : SendOutcome::kAbandoned;
}

void StreamRelay::QueueEvent(std::string_view raw) {
  if (this->core->OnAnswerBegun(*this->admitted, *this->plan, Now())) {
    this->on_news();
  }
  const std::optional<std::int64_t> id = EventIdOf(raw);
  std::optional<std::int64_t>& last = this->admitted->last_event_id;
  // A resumed stream may begin with events that were already delivered.
  if (id && last && *id <= *last) return;
  if (id) last = id;
  this->RecordEventTime(Now());
  this->pending.append(raw);
  ++this->pending_events;
}

void StreamRelay::RecordEventTime(coordination::TimePoint now) {
  policy::AdmittedRequest& admitted = *this->admitted;
  if (admitted.last_event_at == coordination::TimePoint{}) {
    admitted.time_to_first_event = now - admitted.arrived;
  } else {
    admitted.longest_pause =
        std::max(admitted.longest_pause, now - admitted.last_event_at);
  }
  admitted.last_event_at = now;
}

http::Task<bool> StreamRelay::Flush() {
  if (this->pending.empty()) co_return true;
  if (!this->admitted->started) {
    this->admitted->started = true;
    const bool begun = co_await this->exchange->BeginStream(
        platform::BuildCallerResponse(this->stream->Head()));
    if (!begun) co_return false;
  }
  this->admitted->events_delivered += std::exchange(this->pending_events, 0);
  this->core->Link().AddSent(static_cast<std::int64_t>(this->pending.size()),
                             Now());
  const bool sent = co_await this->exchange->Write(this->pending);
  this->pending.clear();
  co_return sent;
}

}  // namespace hornbeamspool::gateway
