// Commands that decisions send to the store, and its replies. The
// daemon maps them to rows; nothing here does I/O.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coordination/escrow.h"

namespace hornbeamspool::policy {

// How a call on the store ended.
enum class TableStatus : std::uint8_t {
  kOk,
  kConflict,     // a condition did not hold; nothing was written
  kNotFound,     // the row does not exist
  kUnavailable,  // certainly not written
  kUnknown,      // may have been written
  kCount
};

// Reads a budget and this node's grant on it.
struct ReadBudget {
  std::string budget;
};

// Moves `amount` units between the budget and this node's grant (negative to
// hand back). Conditional on both rows being as last read.
struct WriteGrant {
  std::string budget;
  coordination::EscrowLedger ledger;  // as last read
  std::int64_t version = 0;           // of the budget row, as last read
  std::int64_t grant_before = 0;      // this node's grant, as last known
  std::int64_t amount = 0;
  std::uint64_t operation = 0;
};

// Commits the intent of an order before its first byte goes upstream.
struct CommitIntent {
  std::uint64_t reservation = 0;
  std::string organisation;
  std::string request_key;
  std::uint64_t fingerprint = 0;
};

// The recorded answer of an order.
struct RecordedAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
};

// A bill, written once for each organisation, request key and fingerprint.
struct Bill {
  std::string organisation;
  std::string budget;
  std::string request_key;
  std::string request_id;
  std::uint64_t fingerprint = 0;
  std::string service;
  std::string version;
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
  std::int64_t amount = 0;  // drawn from the budget
  std::int64_t wall_us = 0;
};

// What becomes of an order's intent row.
enum class IntentChange : std::uint8_t { kNone, kAnswer, kRelease, kCount };

// One entry of a settlement batch.
struct Settlement {
  std::uint64_t sequence = 0;
  bool has_bill = false;
  Bill bill;
  IntentChange intent = IntentChange::kNone;
  CommitIntent order;     // with `intent`
  RecordedAnswer answer;  // with IntentChange::kAnswer
};

// Units that this node has spent of a budget since it started.
struct SettledTotal {
  std::string budget;
  std::int64_t spent = 0;
};

// All due settlements of a node in one transaction.
struct WriteBatch {
  std::vector<Settlement> settlements;
  std::vector<SettledTotal> totals;
};

struct BudgetRead {
  std::string budget;
  TableStatus status = TableStatus::kUnavailable;
  coordination::EscrowLedger ledger;
  std::int64_t version = 0;
  std::int64_t grant = 0;  // this node's grant
};

struct GrantWritten {
  std::string budget;
  TableStatus status = TableStatus::kUnavailable;
  std::uint64_t operation = 0;
};

struct IntentCommitted {
  std::uint64_t reservation = 0;
  TableStatus status = TableStatus::kUnavailable;  // kConflict: it existed
  std::uint64_t fingerprint = 0;                   // of the existing row
  bool answered = false;                           // the row has an answer
  RecordedAnswer answer;
};

struct BatchWritten {
  TableStatus status = TableStatus::kUnavailable;
  std::vector<std::uint64_t> duplicates;  // sequences billed by another node
  std::vector<std::uint64_t> landed;      // sequences an earlier try wrote
};

using TableCommand =
    std::variant<ReadBudget, WriteGrant, CommitIntent, WriteBatch>;
using TableReply =
    std::variant<BudgetRead, GrantWritten, IntentCommitted, BatchWritten>;

}  // namespace hornbeamspool::policy
