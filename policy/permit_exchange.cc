#include "policy/permit_exchange.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::Milliseconds;
using coordination::TimePoint;

constexpr std::size_t kMaxRecentVerdicts = 256;

// A limit that changes continuously is told to its issuers when it has changed
// by this fraction, and at most once in this interval.
constexpr double kToldChange = 0.05;
constexpr Duration kTellInterval = std::chrono::milliseconds(200);

// A peer's report counts as older by the time that a datagram may take, so that
// what this VM heard from the upstream itself prevails.
constexpr Duration kReportDelay = std::chrono::milliseconds(50);

// Rounded up, so that a refused VM does not ask again too early.
std::int64_t CeilMilliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

}  // namespace

RateMessage PermitExchange::NewMessage(RateMessageKind kind,
                                       std::string_view instance,
                                       TimePoint now) {
  RateMessage message;
  message.kind = kind;
  message.id = this->next_id++;
  message.sender = this->self;
  message.instance = instance;
  const RateLimits::Announcement* latest = this->limits->Find(instance);
  if (latest == nullptr) return message;
  message.limited = latest->rate.kind == AnnouncedRate::Kind::kLimited;
  message.per_second = latest->rate.per_second;
  message.age_ms = std::max<std::int64_t>(0, Milliseconds(now - latest->at));
  return message;
}

RateMessage PermitExchange::MakeRequest(std::string_view instance,
                                        TimePoint now) {
  RateMessage message =
      this->NewMessage(RateMessageKind::kPermitRequest, instance, now);
  message.failover = this->limits->IssuerIsSilent(instance, now);
  return message;
}

RateMessage PermitExchange::MakeQuery() {
  RateMessage message;
  message.kind = RateMessageKind::kQuery;
  message.sender = this->self;
  return message;
}

RateMessage PermitExchange::MakeAnnouncement(std::string_view instance,
                                             TimePoint now) {
  return this->NewMessage(RateMessageKind::kAnnouncement, instance, now);
}

PermitExchange::Audience PermitExchange::AudienceOf(std::string_view instance,
                                                    RateLimits::Change change,
                                                    TimePoint now) {
  const auto found = this->told.find(instance);
  if (change == RateLimits::Change::kEnded) {
    if (found != this->told.end()) this->told.erase(found);
    return Audience::kAll;
  }
  if (!this->limits->IsLimited(instance)) return Audience::kNobody;
  const double per_second = this->limits->Find(instance)->rate.per_second;
  if (change != RateLimits::Change::kAnnounced && found != this->told.end()) {
    const double before = found->second.first;
    const bool due = std::abs(per_second - before) > kToldChange * before &&
                     now - found->second.second >= kTellInterval;
    if (!due) return Audience::kNobody;
  }
  std::erase_if(this->told, [this](const auto& entry) {
    return !this->limits->IsLimited(entry.first);
  });
  this->told[std::string(instance)] = {per_second, now};
  return change == RateLimits::Change::kAnnounced ? Audience::kAll
                                                  : Audience::kIssuers;
}

PermitExchange::Received PermitExchange::OnMessage(const RateMessage& message,
                                                   TimePoint now) {
  Received received;
  if (message.kind == RateMessageKind::kQuery) {
    for (const auto& [instance, latest] : this->limits->AllLimited()) {
      received.replies.push_back(this->MakeAnnouncement(instance, now));
    }
    return received;
  }
  RateLimits::Announcement announcement;
  announcement.rate.kind = message.limited ? AnnouncedRate::Kind::kLimited
                                           : AnnouncedRate::Kind::kUnlimited;
  announcement.rate.per_second =
      std::min(message.per_second, kMaxAnnouncedRate);
  announcement.at =
      now - std::chrono::milliseconds(message.age_ms) - kReportDelay;
  received.change = this->limits->OnPeerReport(message.instance, announcement);
  if (message.kind == RateMessageKind::kPermitRequest) {
    received.replies.push_back(this->ReplyTo(message, now));
  }
  return received;
}

RateMessage PermitExchange::ReplyTo(const RateMessage& request, TimePoint now) {
  for (const RateMessage& verdict : this->recent_verdicts) {
    if (verdict.id == request.id && verdict.instance == request.instance) {
      return verdict;
    }
  }
  const RateLimits::Verdict verdict =
      this->limits->Issue(request.instance, request.failover, now);
  RateMessage reply =
      this->NewMessage(RateMessageKind::kPermitVerdict, request.instance, now);
  reply.id = request.id;
  reply.granted = verdict.granted;
  reply.next_permit_ms = CeilMilliseconds(verdict.next_permit);
  reply.backlog_ms = CeilMilliseconds(verdict.backlog);
  this->recent_verdicts.push_back(reply);
  if (this->recent_verdicts.size() > kMaxRecentVerdicts) {
    this->recent_verdicts.pop_front();
  }
  return reply;
}

RateLimits::Verdict PermitExchange::VerdictOf(const RateMessage& message) {
  return {message.granted, std::chrono::milliseconds(message.next_permit_ms),
          std::chrono::milliseconds(message.backlog_ms)};
}

}  // namespace hornbeamspool::policy
