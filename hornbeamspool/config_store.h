// The accepted configuration in the platform: its content in the object store,
// its epoch in the table.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "http/task.h"
#include "platform/object_store.h"
#include "platform/table_client.h"

namespace hornbeamspool {

struct StoredConfig {
  std::uint64_t epoch = 0;  // 0: none was ever accepted
  std::string text;
};

// Empty when the platform did not answer.
http::Task<std::optional<StoredConfig>> ReadStoredConfig(
    platform::TableClient& table, platform::ObjectStore& objects);

enum class PutOutcome : std::uint8_t {
  kAccepted,
  kConflict,     // another configuration was accepted in the meantime
  kUnavailable,  // not accepted, or not known: read before trying again
  kCount
};

// Accepts `text` as the epoch after `base`.
http::Task<PutOutcome> PutConfig(platform::TableClient& table,
                                 platform::ObjectStore& objects,
                                 std::string text, std::uint64_t base);

}  // namespace hornbeamspool
