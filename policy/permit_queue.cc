#include "policy/permit_queue.h"

#include <algorithm>
#include <utility>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

using coordination::TimePoint;

// Peers that are asked for the known limits after the start.
constexpr std::size_t kQueriedPeers = 3;

}  // namespace

void PermitQueue::SetPeers(std::vector<std::string> vms,
                           std::vector<PeerMessage>& out) {
  if (!this->queried && !vms.empty()) {
    this->queried = true;
    const RateMessage query = this->exchange.MakeQuery();
    // Another order at each VM, so that not all ask the same ones.
    const std::size_t offset =
        coordination::StableHash(query.sender) % vms.size();
    for (std::size_t i = 0; i < std::min(kQueriedPeers, vms.size()); ++i) {
      out.push_back({vms[(offset + i) % vms.size()], query});
    }
  }
  this->limits.SetMembers(std::move(vms));
}

void PermitQueue::Ask(std::uint64_t request, const std::string& instance,
                      const std::string& issuer, TimePoint now,
                      std::vector<PeerMessage>& out) {
  Waiting entry;
  entry.until = now + PermitExchange::kRequestTimeout;
  entry.issuer = issuer;
  entry.message = this->exchange.MakeRequest(instance, now);
  entry.attempts = 1;
  out.push_back({issuer, entry.message});
  this->waiting[request] = std::move(entry);
}

void PermitQueue::WaitUntil(std::uint64_t request, TimePoint until) {
  this->waiting[request] = Waiting{until, {}, {}, 0};
}

void PermitQueue::Forget(std::uint64_t request) {
  this->waiting.erase(request);
}

void PermitQueue::Announce(std::string_view instance, RateLimits::Change change,
                           TimePoint now, std::vector<PeerMessage>& out) {
  using Audience = PermitExchange::Audience;
  const Audience audience = this->exchange.AudienceOf(instance, change, now);
  if (audience == Audience::kNobody) return;
  const RateMessage message = this->exchange.MakeAnnouncement(instance, now);
  if (audience == Audience::kAll) {
    out.push_back({{}, message});
    return;
  }
  for (std::string& issuer : this->limits.OtherIssuers(instance)) {
    out.push_back({std::move(issuer), message});
  }
}

std::vector<PermitQueue::Ready> PermitQueue::OnTick(
    TimePoint now, std::vector<PeerMessage>& out) {
  std::vector<Ready> ready;
  for (auto& [request, entry] : this->waiting) {
    if (now < entry.until) continue;
    const bool repeats = !entry.issuer.empty() &&
                         entry.attempts < PermitExchange::kRequestAttempts;
    if (repeats) {
      ++entry.attempts;
      entry.until = now + PermitExchange::kRequestTimeout;
      out.push_back({entry.issuer, entry.message});
      continue;
    }
    if (!entry.issuer.empty()) this->limits.OnTimeout(entry.issuer, now);
    ready.push_back({request, {}});
  }
  for (const Ready& each : ready) this->waiting.erase(each.request);
  return ready;
}

PermitQueue::Received PermitQueue::OnMessage(const RateMessage& message,
                                             TimePoint now,
                                             std::vector<PeerMessage>& out) {
  Received received;
  PermitExchange::Received exchanged = this->exchange.OnMessage(message, now);
  received.change = exchanged.change;
  for (RateMessage& reply : exchanged.replies) {
    out.push_back({message.sender, std::move(reply)});
  }
  if (message.kind != RateMessageKind::kPermitVerdict) return received;
  for (auto& [request, entry] : this->waiting) {
    if (entry.issuer.empty() || entry.message.id != message.id) continue;
    const RateLimits::Verdict verdict = PermitExchange::VerdictOf(message);
    this->limits.OnVerdict(message.instance, entry.issuer, verdict, now);
    received.ready.push_back(
        {request, verdict.granted ? message.instance : std::string()});
    this->waiting.erase(request);
    break;
  }
  return received;
}

}  // namespace hornbeamspool::policy
