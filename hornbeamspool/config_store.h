// The accepted configuration in the platform: its content as an object, its
// epoch in the table.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "http/task.h"
#include "platform/item_table.h"
#include "platform/store_client.h"

namespace hornbeamspool {

struct StoredConfig {
  std::uint64_t epoch = 0;  // 0: none was ever accepted
  std::string text;
};

// Empty when the platform did not answer.
http::Task<std::optional<StoredConfig>> ReadStoredConfig(
    platform::ItemTable& table, platform::StoreClient& store);

enum class PutOutcome : std::uint8_t {
  kAccepted,
  kConflict,     // another configuration was accepted in the meantime
  kUnavailable,  // not accepted, or not known: read before trying again
  kCount
};

// Accepts `text` as the epoch after `base`.
http::Task<PutOutcome> PutConfig(platform::ItemTable& table,
                                 platform::StoreClient& store, std::string text,
                                 std::uint64_t base);

}  // namespace hornbeamspool
