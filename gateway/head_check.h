// Refuses requests by their heads when the VM is overloaded, before their
// bodies take its link.
#pragma once

#include <cstdint>
#include <optional>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/message.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {

// The refusal of a request, which has been logged; empty when its body should
// be read. `body_bytes`: announced length; 0 when not known.
std::optional<policy::Refusal> RefuseByHead(const Context& context,
                                            const http::Request& head,
                                            std::uint64_t body_bytes,
                                            coordination::TimePoint now);

}  // namespace hornbeamspool::gateway
