#include "hornbeamspool/config_store.h"

#include <utility>
#include <vector>

#include "hornbeamspool/ledger_rows.h"
#include "http/task.h"
#include "transport/mac.h"

namespace hornbeamspool {
namespace {

namespace net = boost::asio;
using platform::TableOutcome;

}  // namespace

http::Task<std::optional<StoredConfig>> ReadStoredConfig(
    platform::ItemTable& table, platform::StoreClient& store) {
  const auto row = co_await table.Get(rows::EpochKey());
  if (row.outcome != TableOutcome::kOk) co_return std::nullopt;
  StoredConfig stored;
  if (!row.item) co_return stored;
  auto text = co_await store.GetObject(row.item->Text("object"));
  if (!text) co_return std::nullopt;
  stored.epoch = static_cast<std::uint64_t>(row.item->Number("epoch"));
  stored.text = std::move(*text);
  co_return stored;
}

http::Task<PutOutcome> PutConfig(platform::ItemTable& table,
                                 platform::StoreClient& store, std::string text,
                                 std::uint64_t base) {
  const std::string object = "config-" + transport::Sha256Hex(text);
  if (!co_await store.PutObject(object, std::move(text))) {
    co_return PutOutcome::kUnavailable;
  }
  const auto epoch = static_cast<std::int64_t>(base);
  platform::WriteAction action;
  action.item.key = rows::EpochKey();
  action.item.attributes["epoch"] = epoch + 1;
  action.item.attributes["object"] = object;
  action.condition =
      base == 0 ? rows::RowAbsent() : rows::AttributeEquals("epoch", epoch);
  std::vector<platform::WriteAction> actions{std::move(action)};
  const auto outcome = co_await table.Transact(
      std::move(actions), "config#" + std::to_string(base) + '#' + object);
  if (outcome.outcome == TableOutcome::kOk) co_return PutOutcome::kAccepted;
  if (outcome.outcome == TableOutcome::kConflict) {
    co_return PutOutcome::kConflict;
  }
  // The response was lost: read the row to see whether this write took effect.
  const auto row = co_await table.Get(rows::EpochKey());
  const bool ours = row.item && row.item->Number("epoch") == epoch + 1 &&
                    row.item->Text("object") == object;
  co_return ours ? PutOutcome::kAccepted : PutOutcome::kUnavailable;
}

}  // namespace hornbeamspool
