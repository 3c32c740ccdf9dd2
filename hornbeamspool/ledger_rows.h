// The rows that hold budgets, grants, bills and orders in the platform's
// store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/escrow.h"
#include "platform/item_table.h"
#include "policy/table_messages.h"

namespace hornbeamspool::rows {

// The table of all of them.
inline constexpr std::string_view kTable = "ledger";

// Attribute names.
inline constexpr std::string_view kTotal = "total";
inline constexpr std::string_view kGranted = "granted";
inline constexpr std::string_view kVersion = "version";
inline constexpr std::string_view kSpent = "spent";
inline constexpr std::string_view kOperation = "operation";

platform::ItemKey BudgetKey(std::string_view budget);
platform::ItemKey GrantKey(std::string_view budget, std::string_view holder);
platform::ItemKey SettledKey(std::string_view budget, std::string_view holder);
platform::ItemKey TopUpKey(std::string_view budget, std::string_view id);
platform::ItemKey BillKey(const policy::Bill& bill);
platform::ItemKey IntentKey(std::string_view organisation,
                            std::string_view request_key);
platform::ItemKey EpochKey();

platform::Item EncodeBudget(const coordination::EscrowLedger& ledger,
                            std::int64_t version);
coordination::EscrowLedger DecodeLedger(const platform::Item& item);

platform::Item EncodeBill(const policy::Bill& bill, std::string_view operation);

// A condition that one attribute of the row has this value.
platform::Condition AttributeEquals(std::string_view attribute,
                                    platform::Attribute value);
platform::Condition AttributeAbsentOrEquals(std::string_view attribute,
                                            platform::Attribute value);
platform::Condition RowAbsent();

}  // namespace hornbeamspool::rows
