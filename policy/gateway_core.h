// The decisions of a gateway: admission control, routing, budget reservation,
// upstream selection and retries. No I/O; each call takes the current time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/time.h"
#include "policy/brittle_upstreams.h"
#include "policy/budget_manager.h"
#include "policy/buffer_quota.h"
#include "policy/crash_suspects.h"
#include "policy/error_kind.h"
#include "policy/gateway_request.h"
#include "policy/link_meter.h"
#include "policy/overload/admission_controller.h"
#include "policy/permit_filter.h"
#include "policy/poison_parts.h"
#include "policy/rate_limits.h"
#include "policy/reachability_meter.h"
#include "policy/route_table.h"
#include "policy/unnamed_rejections.h"
#include "policy/uplink_monitor.h"
#include "policy/upstream_backoff.h"
#include "policy/upstream_directory.h"
#include "policy/upstream_selector.h"
#include "policy/version_rollout.h"
#include "policy/warmup/cold_upstreams.h"
#include "policy/warmup/warmup_bound.h"
#include "policy/windowed_retry_budget.h"

namespace hornbeamspool::policy {

// An error answer from the gateway itself.
struct Refusal {
  ErrorKind kind = ErrorKind::kInternal;
  coordination::Duration retry_after{};        // 0: a retry won't help
  std::optional<std::uint64_t> poison_part{};  // of a refusal because of it
  std::string fields{};                        // further fields of its log line
};

// The sends of a request, by their numbers from 1, that overload control has
// decided on last.
struct OverloadProgress {
  std::int64_t offered = 0;
  std::int64_t admitted = 0;
};

// The state of a request from its admission to its end.
struct AdmittedRequest {
  std::shared_ptr<const RouteTable> table;  // owns the objects below
  const Route* route = nullptr;
  const GatewayOrganisation* organisation = nullptr;  // null on public routes
  const Service* service = nullptr;                   // the same for all sends
  GatewayRequest request;
  std::vector<std::uint64_t> shared_parts;  // of the prompt
  coordination::TimePoint arrived{};
  coordination::TimePoint deadline{};  // for the end of the answer
  std::int64_t reserved = 0;           // tokens, until Finish
  BudgetSource source = BudgetSource::kShare;
  bool prompt_billable = false;  // an upstream may have processed the prompt
  std::int64_t events_delivered = 0;
  std::int64_t sends = 0;
  std::int64_t possible_runs = 0;  // sends that an upstream may have executed
  bool started = false;            // the caller got the head of a stream
  std::optional<std::int64_t> last_event_id;     // relayed to the caller
  coordination::TimePoint last_event_at{};       // zero before the first
  coordination::Duration time_to_first_event{};  // from the arrival
  coordination::Duration longest_pause{};        // between events
  std::vector<std::string> failed_upstreams;
  PermitState permits;
  OverloadProgress overload;
  bool use_new_version = false;  // while a version is rolled out
};

// The upstream and the parameters of one send.
struct SendPlan {
  UpstreamEntry upstream;
  coordination::Duration time_left{};  // until the deadline
  std::int64_t urgency = 0;            // 0 to 9; 0 is the most urgent
  std::size_t max_connections = 0;     // of this VM to this upstream
  bool fresh_connection = false;       // not one that earlier requests used
  std::uint64_t rollout_revision = 0;  // of the order that counts the send
  std::int64_t events_before = 0;      // delivered by earlier sends
  bool answer_begun = false;
  SendRecord record;
};

// The upstream chosen for the next send announces a rate limit: a permit must
// be requested from another VM before NextSend is called again.
struct PermitRequest {
  std::string instance;  // of the upstream, or ColdUpstreams::PermitKey of it
  std::string issuer;    // VM
};

// All upstreams that could take the request are at their rate limit; one may
// have a permit at this time.
struct PermitWait {
  coordination::TimePoint until{};
};

// What to do next with an admitted request.
using NextStep = std::variant<Refusal, SendPlan, PermitRequest, PermitWait>;

struct GatewayOptions {
  std::string vm;
  std::string availability_zone;
  RetryLimits retries;
  BudgetManagerOptions budgets;
  ExposureLimit exposure;
  WarmupBound warmup;
  std::int64_t link_bytes_per_second = 0;  // of this VM; 0: not known
  std::int64_t memory_bytes = std::int64_t{256} << 20U;  // of this process
  OverloadMode overload = OverloadMode::kOff;
};

class GatewayCore {
 public:
  GatewayCore(GatewayOptions options, ProcessStart start);

  // Sets the number of VMs in the fleet, this one included. Before the first
  // call, this VM uses nothing of the limits that the fleet shares.
  void SetFleetSize(std::size_t vms) {
    this->fleet_size = static_cast<std::int64_t>(vms);
    this->selector.SetFleetSize(this->fleet_size);
    this->rollouts.SetFleetSize(this->fleet_size);
    this->backoff.SetFleetSize(this->fleet_size);
  }
  // Sets the other VMs of the fleet.
  void SetPeers(std::vector<std::string> vms) {
    this->SetFleetSize(vms.size() + 1);
    this->poison_parts.SetPeers(vms);
    this->brittle_upstreams.SetPeers(vms);
    this->rate_limits.SetMembers(std::move(vms));
  }

  // Applies a configuration; false when it is not newer than the current one.
  bool SetConfig(GatewayConfig config);
  // Null before the first configuration.
  const RouteTable* Table() const { return this->table.get(); }
  // Sets whether the store has recently confirmed that the configuration is the
  // newest. Otherwise an unknown key or route may be new, and its requests are
  // refused as not ready instead of as unknown.
  void SetConfigConfirmed(bool confirmed) {
    this->config_confirmed = confirmed;
  }

  // Admission control: finds the request's route, organisation and service, and
  // sheds load when the VM's link is congested. Call Finish for an admitted
  // request.
  std::variant<Refusal, AdmittedRequest> Admit(GatewayRequest request,
                                               coordination::TimePoint now);
  // Reserves the tokens that the request may use at most from its
  // organisation's budget.
  BudgetVerdict ReserveBudget(AdmittedRequest& admitted,
                              coordination::TimePoint now);
  // Selects an upstream for the next send, and counts it as sent. Call
  // OnSendEnded at its end.
  NextStep NextSend(AdmittedRequest& admitted, coordination::TimePoint now);
  // Another VM has granted the permit that NextSend asked for.
  void OnPermit(AdmittedRequest& admitted, std::string instance) {
    admitted.permits.Add(std::move(instance));
  }
  // The first whole event of the answer to this send has arrived. Returns
  // whether the other VMs should be told at once.
  bool OnAnswerBegun(const AdmittedRequest& admitted, SendPlan& plan,
                     coordination::TimePoint now);
  // Records how a send ended. Returns whether the request may be retried;
  // NextSend then decides whether and where.
  bool OnSendEnded(AdmittedRequest& admitted, const SendPlan& plan,
                   SendOutcome outcome, coordination::TimePoint now);
  // Whether a request that was planned may be written to a connection of the VM
  // `vm` to the upstream now: more may be known than at the time of NextSend.
  bool MaySend(std::string_view vm, const UpstreamEntry& upstream,
               coordination::TimePoint now) const {
    return !this->backoff.IsWithheld(vm, upstream.InstanceId(), now);
  }
  // Whether the request may be resent to the same upstream after a pooled
  // connection broke. The upstream may have received it already, so a resend is
  // taken from the retry budget, and none goes to a rate-limited upstream.
  bool TakeResend(const AdmittedRequest& admitted,
                  const UpstreamEntry& upstream, coordination::TimePoint now);
  // The error answer when the last send failed with this outcome.
  Refusal FinalRefusal(const AdmittedRequest& admitted,
                       SendOutcome outcome) const;
  // Call before an upstream's entry is removed from Upstreams().
  void OnUpstreamRemoved(std::string_view id, coordination::TimePoint now);
  // An upstream instance has certainly ended: another instance has registered
  // under its id, its address refuses connections, or its grace period has
  // passed.
  void OnUpstreamDown(const UpstreamEntry& entry, coordination::TimePoint now);
  // The result of an attempt to connect to an upstream directly.
  void OnConnect(const UpstreamEntry& entry, bool reached,
                 coordination::TimePoint now);
  // An upstream's address has refused a connection: it has ended, unless this
  // VM's own network refuses all connections. Recorded once a connection to
  // another upstream succeeds.
  void OnUpstreamRefused(const UpstreamEntry& entry,
                         coordination::TimePoint now);
  // Whether a refused connection awaits a success to another upstream.
  bool HasUnconfirmedRefusals() const { return !this->refusals.empty(); }
  // Removes upstreams whose grace period after a store outage has passed.
  // Returns their ids.
  std::vector<std::string> ExpireUpstreams(coordination::TimePoint now);
  // Ends the request and settles its reservation by the tokens used.
  void Finish(AdmittedRequest& admitted);

  UpstreamDirectory& Upstreams() { return this->upstreams; }
  UpstreamSelector& Selector() { return this->selector; }
  BudgetManager& Budgets() { return this->budgets; }
  CrashSuspects& Suspects() { return this->suspects; }
  PoisonParts& Parts() { return this->poison_parts; }
  RateLimits& Limits() { return this->rate_limits; }
  ColdUpstreams& Cold() { return this->cold_upstreams; }
  VersionRollouts& Rollouts() { return this->rollouts; }
  LinkMeter& Link() { return this->link; }
  AdmissionController& Overload() { return this->overload; }
  // Memory for answers that are buffered until they are complete.
  BufferQuota& AnswerBuffers() { return this->answer_buffers; }
  ReachabilityMeter& Reachability() { return this->reachability; }
  UplinkMonitor& Uplink() { return this->uplink; }
  BrittleUpstreams& Brittle() { return this->brittle_upstreams; }
  UpstreamBackoff& Backoff() { return this->backoff; }
  UnnamedRejections& Unnamed() { return this->unnamed_rejections; }
  // Admitted requests that have not finished.
  std::size_t InFlight() const { return this->in_flight; }

 private:
  const Service* ChooseService(const RouteTable& table, const Route& route,
                               const GatewayRequest& request) const;
  std::vector<const UpstreamEntry*> EligibleUpstreams(
      AdmittedRequest& admitted, bool may_be_canary,
      coordination::TimePoint now);
  std::vector<const UpstreamEntry*> PermittedUpstreams(
      AdmittedRequest& admitted, bool may_be_canary, PermitFilter& filter,
      coordination::TimePoint now);
  // What overload control asks the request to do instead of its next send;
  // empty when it admits it.
  std::optional<NextStep> YieldToOthers(AdmittedRequest& admitted,
                                        const UpstreamEntry& best,
                                        const SelectionCriteria& criteria,
                                        coordination::TimePoint now);
  NextStep WaitOrRefuse(const AdmittedRequest& admitted,
                        PermitFilter& filter) const;
  // The refusal when every usable upstream of the service leaves or has asked
  // for a pause; empty when one may get a request, or there is none.
  std::optional<Refusal> BackoffRefusal(const Service& service,
                                        std::string_view request_id,
                                        coordination::TimePoint now) const;
  bool IsCrashing(std::uint64_t fingerprint,
                  std::span<const std::uint64_t> parts,
                  coordination::TimePoint now);
  Refusal RefuseCrashing(std::uint64_t fingerprint,
                         std::span<const std::uint64_t> parts,
                         coordination::TimePoint now);
  void RecordCrashEvidence(const AdmittedRequest& admitted,
                           const SendPlan& plan, SendOutcome outcome,
                           coordination::TimePoint now);
  void ReportToRollout(const AdmittedRequest& admitted, const SendPlan& plan,
                       SendOutcome outcome, coordination::TimePoint now);
  std::size_t MaxConnections(const Service& service) const;
  WindowedRetryBudget& RetryBudgetOf(const std::string& service);
  std::int64_t TokensUsed(const AdmittedRequest& admitted) const;

  GatewayOptions options;
  std::shared_ptr<const RouteTable> table;
  UpstreamDirectory upstreams;
  UpstreamSelector selector;
  BudgetManager budgets;
  VersionRollouts rollouts;
  CrashSuspects suspects;
  PoisonParts poison_parts;
  RateLimits rate_limits;
  ColdUpstreams cold_upstreams;
  BrittleUpstreams brittle_upstreams;
  UpstreamBackoff backoff;
  UnnamedRejections unnamed_rejections;
  LinkMeter link;
  AdmissionController overload;
  BufferQuota answer_buffers;
  ReachabilityMeter reachability;
  UplinkMonitor uplink;
  // Refused connections that no success to another upstream has followed yet.
  std::vector<std::pair<UpstreamEntry, coordination::TimePoint>> refusals;
  std::map<std::string, WindowedRetryBudget, std::less<>>
      retry_budgets;  // by service
  std::size_t in_flight = 0;
  std::int64_t fleet_size = 0;  // VMs; 0: not known
  bool config_confirmed = false;
};

}  // namespace hornbeamspool::policy
