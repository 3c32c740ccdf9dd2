// Commands to the tables of the store, and the replies. Policy classes create
// the commands; the daemon maps them to rows and executes them.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coordination/escrow.h"

namespace hornbeamspool::policy {

// Result of a call to the store.
enum class TableStatus : std::uint8_t {
  kOk,
  kConflict,     // a precondition did not hold; nothing was written
  kNotFound,     // the row does not exist
  kUnavailable,  // the call failed; nothing was written
  kUnknown,      // the call failed; it may have been written
  kCount
};

// Reads a budget and this node's grant from it.
struct ReadBudget {
  std::string budget;
};

// Moves `amount` units from the budget to this node's grant, or back when
// negative. Conditional on both rows being unchanged since they were read.
struct WriteGrant {
  std::string budget;
  coordination::EscrowLedger ledger;  // as last read
  std::int64_t version = 0;           // of the budget row, as last read
  std::int64_t grant_before = 0;      // this node's grant, as last known
  std::int64_t amount = 0;
  std::uint64_t operation = 0;  // identifies the write; the reply repeats it
};

// Commits the intent to send an order (see AdmissionRequest), before any byte
// of it is sent. Fails with kConflict when the request key has an intent row.
struct CommitIntent {
  std::uint64_t reservation = 0;
  std::string organisation;
  std::string request_key;
  std::uint64_t fingerprint = 0;
};

// The answer of an order, kept for requests that repeat its key.
struct RecordedAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
};

// The charge for one request, written once for each organisation, request key
// and fingerprint.
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
  std::int64_t amount = 0;  // units spent from the budget
  std::int64_t wall_us = 0;
};

// Change of an order's intent row.
enum class IntentChange : std::uint8_t {
  kNone,
  kAnswer,   // records the answer
  kRelease,  // deletes the row, so that the request key may be used again
  kCount
};

// What is written to the store at the end of a request.
struct Settlement {
  std::uint64_t sequence = 0;
  bool has_bill = false;
  Bill bill;
  IntentChange intent = IntentChange::kNone;
  CommitIntent order;     // unless `intent` is kNone
  RecordedAnswer answer;  // when `intent` is kAnswer
};

// Units of a budget that this node has spent since it started.
struct SpentTotal {
  std::string budget;
  std::int64_t spent = 0;
};

// Writes settlements in one transaction.
struct WriteBatch {
  std::vector<Settlement> settlements;
  std::vector<SpentTotal> totals;
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
  TableStatus status = TableStatus::kUnavailable;
  // The existing row, when `status` is kConflict.
  std::uint64_t fingerprint = 0;
  bool answered = false;  // `answer` has been recorded
  RecordedAnswer answer;
};

struct BatchWritten {
  TableStatus status = TableStatus::kUnavailable;
  // Sequence numbers of settlements whose request another node has billed.
  std::vector<std::uint64_t> duplicates;
  // Sequence numbers of settlements that an earlier attempt wrote.
  std::vector<std::uint64_t> already_written;
};

using TableCommand =
    std::variant<ReadBudget, WriteGrant, CommitIntent, WriteBatch>;
using TableReply =
    std::variant<BudgetRead, GrantWritten, IntentCommitted, BatchWritten>;

}  // namespace hornbeamspool::policy
