#include "hornbeamspool/ledger_rows.h"

#include <utility>

namespace hornbeamspool::rows {
namespace {

std::string Prefixed(std::string_view prefix, std::string_view name) {
  std::string text(prefix);
  text += '#';
  text += name;
  return text;
}

}  // namespace

platform::ItemKey BudgetKey(std::string_view budget) {
  return {Prefixed("budget", budget), "budget"};
}

platform::ItemKey GrantKey(std::string_view budget, std::string_view holder) {
  return {Prefixed("budget", budget), Prefixed("grant", holder)};
}

platform::ItemKey SettledKey(std::string_view budget, std::string_view holder) {
  return {Prefixed("budget", budget), Prefixed("settled", holder)};
}

platform::ItemKey TopUpKey(std::string_view budget, std::string_view id) {
  return {Prefixed("budget", budget), Prefixed("topup", id)};
}

// The fingerprint is part of the key, so a request key that is reused for a
// different request gets its own bill.
platform::ItemKey BillKey(const policy::Bill& bill) {
  return {Prefixed("bill", bill.organisation),
          Prefixed(bill.request_key, std::to_string(bill.fingerprint))};
}

platform::ItemKey IntentKey(std::string_view organisation,
                            std::string_view request_key) {
  return {Prefixed("order", organisation), std::string(request_key)};
}

platform::ItemKey EpochKey() { return {"config", "epoch"}; }

platform::Item EncodeBudget(const coordination::EscrowLedger& ledger,
                            std::int64_t version) {
  platform::Item item;
  item.attributes[std::string(kTotal)] = ledger.total;
  item.attributes[std::string(kGranted)] = ledger.granted;
  item.attributes[std::string(kVersion)] = version;
  return item;
}

coordination::EscrowLedger DecodeLedger(const platform::Item& item) {
  coordination::EscrowLedger ledger;
  ledger.total = item.Number(kTotal);
  ledger.granted = item.Number(kGranted);
  return ledger;
}

platform::Item EncodeBill(const policy::Bill& bill,
                          std::string_view operation) {
  platform::Item item;
  item.attributes = {{"budget", bill.budget},
                     {"request_id", bill.request_id},
                     {"request_key", bill.request_key},
                     {"service", bill.service},
                     {"version", bill.version},
                     {"prompt_tokens", bill.prompt_tokens},
                     {"completion_tokens", bill.completion_tokens},
                     {"amount", bill.amount},
                     {"wall_us", bill.wall_us},
                     {std::string(kOperation), std::string(operation)}};
  return item;
}

platform::Condition AttributeEquals(std::string_view attribute,
                                    platform::Attribute value) {
  return {platform::Condition::Kind::kEqual, std::string(attribute),
          std::move(value)};
}

platform::Condition AttributeAbsentOrEquals(std::string_view attribute,
                                            platform::Attribute value) {
  return {platform::Condition::Kind::kAbsentOrEqual, std::string(attribute),
          std::move(value)};
}

platform::Condition RowAbsent() {
  return {platform::Condition::Kind::kAbsent, {}, {}};
}

}  // namespace hornbeamspool::rows
