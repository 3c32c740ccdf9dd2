// The accepted configuration in the platform's store: its text is an object,
// and a row contains its epoch and the object's name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "http/task.h"
#include "platform/item_table.h"
#include "platform/store_client.h"

namespace hornbeamspool {

struct StoredConfig {
  std::uint64_t epoch = 0;  // 0 if no configuration was ever accepted
  std::string text;
};

// Reads the accepted configuration. Empty if the store did not answer.
http::Task<std::optional<StoredConfig>> ReadStoredConfig(
    platform::ItemTable& table, platform::StoreClient& store);

enum class PutOutcome : std::uint8_t {
  kAccepted,
  kConflict,     // the epoch is no longer `base`
  kUnavailable,  // not accepted or unknown; read before a retry
  kCount
};

// Stores `text` as epoch `base` + 1, if the epoch is still `base`.
http::Task<PutOutcome> PutConfig(platform::ItemTable& table,
                                 platform::StoreClient& store, std::string text,
                                 std::uint64_t base);

}  // namespace hornbeamspool
