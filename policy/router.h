// The policy of one node: admission control, budgets, orders, the choice of an
// upstream, retries and settlement. Does no I/O: each call takes a message and
// the current time, and puts the resulting actions into an Outbox.
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
#include "policy/permit_filter.h"
#include "policy/permit_queue.h"
#include "policy/poison_part_record.h"
#include "policy/poison_parts.h"
#include "policy/rate_limits.h"
#include "policy/rate_message.h"
#include "policy/retry.h"
#include "policy/settlement_queue.h"
#include "policy/upstream_backoff.h"
#include "policy/upstream_set.h"

namespace hornbeamspool::policy {

// The actions that the daemon is to carry out after a call.
struct Outbox {
  std::vector<AdmissionReply> replies;
  std::vector<TableCommand> commands;
  std::vector<Event> events;
  std::vector<PeerMessage> peer_messages;
  std::vector<PoisonPartRecord> part_records;  // for all other nodes
};

struct RouterOptions {
  std::string availability_zone;
  std::size_t max_in_flight = 4096;  // requests
  GrantPolicy grant_policy = GrantPolicy::kEscrow;
  std::string node{};             // name, unique in the fleet
  std::uint64_t incarnation = 0;  // of this process
};

class Router {
 public:
  explicit Router(RouterOptions options);

  // Applies a configuration if it is newer than the one in force. Returns
  // whether it was applied.
  bool SetConfig(std::uint64_t epoch, FleetConfig config, Outbox& out);
  // Replaces the list of upstreams.
  void SetUpstreams(std::span<const ListedUpstream> listed, Outbox& out);
  // Stores the load that an upstream reports.
  void SetReport(const LoadReport& report) {
    this->upstreams.SetReport(report);
  }
  // `holders` is the number of live nodes that may draw on a budget.
  void SetHolders(std::int64_t holders) { this->budgets.SetHolders(holders); }

  // Sets the other nodes of the fleet, with which this node shares the rate
  // limits of upstreams and what it knows of poison parts.
  void SetPeers(std::vector<std::string> nodes, Outbox& out) {
    this->poison_parts.SetPeers(nodes);
    this->permits.SetPeers(std::move(nodes), out.peer_messages);
  }
  void OnPeerMessage(const RateMessage& message, coordination::TimePoint now,
                     Outbox& out);
  // Handles another node's records about poison parts.
  void OnPartRecords(std::span<const PoisonPartRecord> records,
                     coordination::TimePoint now);
  void OnUpstreamAnswer(const UpstreamAnswer& answer,
                        coordination::TimePoint now, Outbox& out);
  std::vector<RateLimits::Stats> RateStats(coordination::TimePoint now) {
    return this->permits.Limits().AllStats(now);
  }

  // Each AdmissionRequest and RetryRequest gets one AdmissionReply, in this
  // call or in a later one.
  void OnRequest(const AdmissionRequest& request, coordination::TimePoint now,
                 Outbox& out);
  void OnRetry(const RetryRequest& retry, coordination::TimePoint now,
               Outbox& out);
  void OnAnswerBegun(const AnswerBegun& begun, coordination::TimePoint now);
  void OnCompletion(const Completion& completion, coordination::TimePoint now,
                    Outbox& out);
  void OnTableReply(const TableReply& reply, coordination::TimePoint now,
                    Outbox& out);
  // To be called periodically: expires waiting requests, writes settlements
  // that are due, and returns grants.
  void OnTick(coordination::TimePoint now, Outbox& out);

  // Begins a graceful shutdown: new requests are refused, requests in flight
  // are completed and billed, then unspent grants are returned.
  void BeginStop() { this->stopping = true; }
  // True when the shutdown is complete.
  bool Stopped() const;

  // Epoch of the configuration in force; 0 when there is none.
  std::uint64_t ConfigEpoch() const { return this->config.Epoch(); }
  // True while requests can be admitted.
  bool Ready() const {
    return this->config.Get() != nullptr && !this->stopping;
  }
  // Number of requests that are admitted or wait to be.
  std::size_t InFlight() const { return this->reservations.size(); }
  // Number of settlements that are not yet written to the store.
  std::size_t BillingBacklog() const { return this->billing.Backlog(); }
  const UpstreamSet& Upstreams() const { return this->upstreams; }
  const PoisonParts& Parts() const { return this->poison_parts; }
  const UpstreamBackoff& Backoff() const { return this->backoff; }
  std::map<std::string, GrantStats> AllStats() const {
    return this->budgets.AllStats();
  }
  // True when every budget account keeps its invariant.
  bool Consistent() const { return this->budgets.Consistent(); }

 private:
  // The organisation of a bearer key, and the budget that the key spends.
  struct KeyOwner {
    const Organisation* organisation = nullptr;
    std::string_view budget;
  };

  // A request that is admitted or waits for its budget or its intent.
  struct Reservation {
    AdmissionRequest request;
    std::string organisation;
    std::string budget;
    std::string service;
    std::string version;
    ClassTargets targets;
    std::int64_t amount = 0;      // units to reserve: the most it can spend
    std::int64_t max_tokens = 0;  // of the answer
    std::int64_t price = 0;       // of a plain call
    bool reserved = false;        // `amount` is reserved from the budget
    bool intent_committed = false;
    bool intent_found = false;  // the key had an intent already
    AttemptState attempts;
    std::string upstream;  // of the current attempt; may be empty
    std::string instance;  // of that upstream
    coordination::TimePoint sent_at{};
    bool awaits_answer = false;  // sent, and the answer has not begun
    std::vector<std::string> failed_upstreams;
    coordination::TimePoint arrived{};
    PermitState permits;
  };

  // Finds the organisation, its budget and the class of work.
  std::optional<ErrorKind> Authorize(Reservation& reservation) const;
  // Find the service, and the most that the request can spend.
  std::optional<ErrorKind> PrepareModelRequest(Reservation& reservation) const;
  std::optional<ErrorKind> PreparePlainRequest(Reservation& reservation) const;
  std::optional<ErrorKind> CheckNodeState(
      const AdmissionRequest& request) const;
  void ReserveBudget(std::uint64_t id, coordination::TimePoint now,
                     Outbox& out);
  void Dispatch(std::uint64_t id, coordination::TimePoint now, Outbox& out);
  void Admit(std::uint64_t id, const Upstream& chosen,
             coordination::TimePoint now, Outbox& out);
  void RefusePoisonPart(std::uint64_t id, coordination::TimePoint now,
                        Outbox& out);
  // Ends the wait for an answer of the current attempt.
  void EndWait(Reservation& reservation, bool answered, bool may_have_run,
               coordination::TimePoint now);
  void CollectPartRecords(coordination::TimePoint now, Outbox& out);
  void OnBackoff(const UpstreamAnswer& answer, coordination::TimePoint now,
                 Outbox& out);
  void WaitOrRefuse(std::uint64_t id, const PermitFilter& filter,
                    coordination::TimePoint now, Outbox& out);
  std::vector<std::string> ExcludedUpstreams(const Reservation& reservation,
                                             const UpstreamDemand& demand,
                                             PermitFilter& filter) const;
  // Adds the upstreams that leave or have asked for a pause to `excluded`.
  // Returns until the first of the pauses ends; empty when nothing was added.
  std::optional<coordination::Duration> ExcludeWithheld(
      const UpstreamDemand& demand, std::vector<std::string>& excluded,
      coordination::TimePoint now) const;
  // Drops what is known of upstreams that have left the list.
  void PruneUpstreams(coordination::TimePoint now);
  void Resume(std::vector<PermitQueue::Ready> ready,
              coordination::TimePoint now, Outbox& out);
  // `retry_after_s`: of the refusal; empty: the error's own.
  void Refuse(std::uint64_t id, ErrorKind kind, coordination::TimePoint now,
              Outbox& out, std::optional<std::int64_t> retry_after_s = {});
  void EndReservation(std::uint64_t id, std::int64_t used,
                      coordination::TimePoint now);
  void ApplyBudgetOutcome(BudgetOutcome& outcome, coordination::TimePoint now,
                          Outbox& out);
  void OnIntent(const IntentCommitted& committed, coordination::TimePoint now,
                Outbox& out);
  void OnBatch(const BatchWritten& written, coordination::TimePoint now,
               Outbox& out);
  void FlushBilling(coordination::TimePoint now, Outbox& out);
  Settlement MakeSettlement(const Reservation& reservation,
                            const Completion& completion,
                            std::int64_t spent) const;

  RouterOptions options;
  coordination::VersionedValue<FleetConfig> config;
  std::map<std::string_view, KeyOwner> key_owners;  // views into `config`
  GrantManager budgets;
  SettlementQueue billing;
  InFlightKeys in_progress;
  RetryBudget retries;
  UpstreamSet upstreams;
  PermitQueue permits;
  PoisonParts poison_parts;
  UpstreamBackoff backoff;
  coordination::TimePoint next_prune{};
  std::map<std::uint64_t, Reservation> reservations;
  std::uint64_t next_reservation = 1;
  bool stopping = false;
};

}  // namespace hornbeamspool::policy
