// Keys and encodings of the rows for budgets, grants, bills, order intents and
// the config epoch in the platform's store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/escrow.h"
#include "platform/item_table.h"
#include "policy/table_messages.h"

namespace hornbeamspool::rows {

// Name of the table that holds all of these rows.
inline constexpr std::string_view kTable = "ledger";

// Attribute names.
inline constexpr std::string_view kTotal = "total";
inline constexpr std::string_view kGranted = "granted";
inline constexpr std::string_view kVersion = "version";
inline constexpr std::string_view kSpent = "spent";
inline constexpr std::string_view kOperation = "operation";

// A budget's ledger.
platform::ItemKey BudgetKey(std::string_view budget);
// A holder's grant on a budget.
platform::ItemKey GrantKey(std::string_view budget, std::string_view holder);
// Tokens of a budget that a holder has spent.
platform::ItemKey SettledKey(std::string_view budget, std::string_view holder);
// A top-up by its operator-assigned id, which makes repeats idempotent.
platform::ItemKey TopUpKey(std::string_view budget, std::string_view id);
// A bill, by organisation, request key and request fingerprint.
platform::ItemKey BillKey(const policy::Bill& bill);
// The intent of an order, written before the order is sent upstream.
platform::ItemKey IntentKey(std::string_view organisation,
                            std::string_view request_key);
// The accepted configuration: its epoch and the name of its object.
platform::ItemKey EpochKey();

// Each write increments `version` and is conditional on its old value, which
// prevents lost updates.
platform::Item EncodeBudget(const coordination::EscrowLedger& ledger,
                            std::int64_t version);
coordination::EscrowLedger DecodeLedger(const platform::Item& item);

// `operation` names the transaction that writes the bill.
platform::Item EncodeBill(const policy::Bill& bill, std::string_view operation);

// Conditions for a write: the attribute has this value; the row is absent or
// its attribute has this value; the row is absent.
platform::Condition AttributeEquals(std::string_view attribute,
                                    platform::Attribute value);
platform::Condition AttributeAbsentOrEquals(std::string_view attribute,
                                            platform::Attribute value);
platform::Condition RowAbsent();

}  // namespace hornbeamspool::rows
