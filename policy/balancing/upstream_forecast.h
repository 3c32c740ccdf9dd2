// What a request may expect of an upstream if it is sent there now.
#pragma once

#include "coordination/time.h"

namespace hornbeamspool::policy {

struct UpstreamForecast {
  // Zero where nothing is known of the upstream. Until the first event of a
  // stream, or the head of another answer.
  coordination::Duration first_event{};
  coordination::Duration completion{};  // until the end of the answer
  // False when the upstream is known to queue requests, or to lack room in its
  // KV cache. An upstream without data counts as having a free slot.
  bool has_slot = true;
};

}  // namespace hornbeamspool::policy
