// The decisions of one node: admission, budgets, orders, the choice of an
// upstream, retries and settlement. No I/O: each call takes a message and the
// present time, and leaves what is to be done in an Outbox.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "coordination/versioned_value.h"
#include "policy/event.h"
#include "policy/fleet_config.h"
#include "policy/grant_manager.h"
#include "policy/in_flight_keys.h"
#include "policy/messages.h"
#include "policy/retry.h"
#include "policy/settlement_queue.h"
#include "policy/upstream_set.h"

namespace hornbeamspool::policy {

// What one step asks of the daemon.
struct Outbox {
  std::vector<AdmissionReply> replies;
  std::vector<TableCommand> commands;
  std::vector<Event> events;
};

struct RouterOptions {
  std::string availability_zone;
  std::size_t max_in_flight = 4096;
  GrantPolicy grant_policy = GrantPolicy::kEscrow;
};

class Router {
 public:
  explicit Router(RouterOptions options);

  // Takes a configuration when it is newer than the one in force. Returns
  // whether it was taken.
  bool SetConfig(std::uint64_t epoch, FleetConfig config, Outbox& out);
  void SetUpstreams(std::span<const ListedUpstream> listed, Outbox& out);
  void SetReport(const LoadReport& report) {
    this->upstreams.SetReport(report);
  }
  void SetHolders(std::int64_t holders) { this->budgets.SetHolders(holders); }

  void OnRequest(const AdmissionRequest& request, coordination::TimePoint now,
                 Outbox& out);
  void OnRetry(const RetryRequest& retry, coordination::TimePoint now,
               Outbox& out);
  void OnCompletion(const Completion& completion, coordination::TimePoint now,
                    Outbox& out);
  void OnTableReply(const TableReply& reply, coordination::TimePoint now,
                    Outbox& out);
  void OnTick(coordination::TimePoint now, Outbox& out);

  // From here on new requests are refused; what runs is finished, billed, and
  // every unspent grant handed back.
  void BeginStop() { this->stopping = true; }
  bool Stopped() const;

  std::uint64_t ConfigEpoch() const { return this->config.Epoch(); }
  bool Ready() const {
    return this->config.Get() != nullptr && !this->stopping;
  }
  std::size_t InFlight() const { return this->reservations.size(); }
  std::size_t BillingBacklog() const { return this->billing.Backlog(); }
  const UpstreamSet& Upstreams() const { return this->upstreams; }
  std::map<std::string, GrantStats> AllStats() const {
    return this->budgets.AllStats();
  }
  bool Consistent() const { return this->budgets.Consistent(); }

 private:
  // Who may spend from which budget, by key digest.
  struct KeyHolder {
    const Organisation* organisation = nullptr;
    std::string_view budget;
  };

  // One admitted or waiting request.
  struct Reservation {
    AdmissionRequest request;
    std::string organisation;
    std::string budget;
    std::string service;
    std::string version;
    ClassTargets targets;
    std::int64_t amount = 0;      // units reserved
    std::int64_t max_tokens = 0;  // of the answer
    std::int64_t price = 0;       // of a plain call
    bool reserved = false;        // the units are set aside
    bool intent_committed = false;
    bool intent_found = false;  // an earlier try had committed one
    TryState tries;
    std::string upstream;
    std::vector<std::string> failed_upstreams;
  };

  std::optional<ErrorKind> Identify(Reservation& work) const;
  std::optional<ErrorKind> PlanModel(Reservation& work) const;
  std::optional<ErrorKind> PlanPlain(Reservation& work) const;
  std::optional<ErrorKind> Gate(const AdmissionRequest& request) const;
  void SetAside(std::uint64_t id, coordination::TimePoint now, Outbox& out);
  void Dispatch(std::uint64_t id, coordination::TimePoint now, Outbox& out);
  void Refuse(std::uint64_t id, ErrorKind kind, coordination::TimePoint now,
              Outbox& out);
  void Close(std::uint64_t id, std::int64_t used, coordination::TimePoint now);
  void Absorb(BudgetOutcome& outcome, coordination::TimePoint now, Outbox& out);
  void OnIntent(const IntentCommitted& committed, coordination::TimePoint now,
                Outbox& out);
  void OnBatch(const BatchWritten& written, coordination::TimePoint now,
               Outbox& out);
  void FlushBilling(coordination::TimePoint now, Outbox& out);
  Settlement SettlementOf(const Reservation& work, const Completion& completion,
                          std::int64_t spent) const;

  RouterOptions options;
  coordination::VersionedValue<FleetConfig> config;
  std::map<std::string_view, KeyHolder> key_holders;  // views into `config`
  GrantManager budgets;
  SettlementQueue billing;
  InFlightKeys in_progress;
  RetryBudget retries;
  UpstreamSet upstreams;
  std::map<std::uint64_t, Reservation> reservations;
  std::uint64_t next_reservation = 1;
  bool stopping = false;
};

}  // namespace hornbeamspool::policy
