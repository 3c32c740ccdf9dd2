// The heartbeat by which routers gossip their membership views. Sent by UDP,
// encoded with cereal.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/hybrid_clock.h"
#include "coordination/member_view.h"
#include "transport/datagram.h"

namespace hornbeamspool::transport {

struct Heartbeat {
  coordination::HybridTime sent_at;
  coordination::MemberReport sender;
  // Some of the members in the sender's view.
  std::vector<coordination::MemberReport> sample;
};

std::string EncodeHeartbeat(const Heartbeat& heartbeat);

// Empty when the bytes are not a valid heartbeat.
std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace hornbeamspool::transport
