// The decisions of a gateway: routes, keys, budgets, the choice of upstreams
// and what follows when a send fails. No I/O; each call takes the present time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/time.h"
#include "policy/budget_manager.h"
#include "policy/crash_suspects.h"
#include "policy/error_kind.h"
#include "policy/gateway_request.h"
#include "policy/held_bytes.h"
#include "policy/link_meter.h"
#include "policy/reach_meter.h"
#include "policy/route_table.h"
#include "policy/upstream_board.h"
#include "policy/upstream_directory.h"
#include "policy/version_rollout.h"
#include "policy/windowed_retry_budget.h"

namespace hornbeamspool::policy {

// A request that is answered by the gateway itself.
struct Refusal {
  ErrorKind kind = ErrorKind::kInternal;
  coordination::Duration retry_after{};  // 0: coming back won't help
};

// A request that was let in, until its end.
struct Ticket {
  std::shared_ptr<const RouteTable> table;  // keeps what is pointed to
  const Route* route = nullptr;
  const GatewayOrganisation* organisation = nullptr;  // null on open routes
  const Service* service = nullptr;  // chosen once for all sends
  GatewayRequest request;
  coordination::TimePoint arrived{};
  coordination::TimePoint deadline{};  // the answer has ended by then
  std::int64_t reserved = 0;           // tokens set aside
  BudgetSource source = BudgetSource::kShare;
  bool prompt_read = false;  // an upstream may have read the prompt
  std::int64_t events_delivered = 0;
  std::int64_t sends = 0;
  std::int64_t runs = 0;  // sends that an upstream may have run
  bool started = false;   // the caller has been sent the answer's head
  std::optional<std::int64_t> last_event_id;   // the last one delivered
  coordination::TimePoint last_event_at{};     // zero before the first
  coordination::Duration first_event_after{};  // the arrival
  coordination::Duration longest_pause{};      // between events
  std::vector<std::string> failed_upstreams;
  bool use_new_version = false;  // while a version is rolled out
};

// Where to send a request now.
struct SendOrder {
  UpstreamEntry upstream;
  coordination::Duration left{};  // until the deadline
  std::int64_t urgency = 0;
  std::size_t max_connections = 0;     // of this VM to this upstream
  std::uint64_t rollout_revision = 0;  // of the order that counts the send
  SendRecord record;
};

struct GatewayOptions {
  std::string availability_zone;
  RetryLimits retries;
  BudgetManagerOptions budgets;
  std::int64_t link_bytes_per_second = 0;  // of this VM; 0: not known
  std::int64_t memory_bytes = std::int64_t{256} << 20U;  // of this process
};

class GatewayCore {
 public:
  GatewayCore(GatewayOptions options, ProcessStart start);

  // The number of VMs in the fleet, this one included. Until it is known, this
  // VM takes nothing of what the fleet shares.
  void SetFleetSize(std::size_t vms) {
    this->fleet_size = static_cast<std::int64_t>(vms);
    this->rollouts.SetFleetSize(this->fleet_size);
  }

  // Takes a configuration that is newer than the one in force; false otherwise.
  bool SetConfig(GatewayConfig config);
  const RouteTable* Table() const { return this->table.get(); }
  // Whether the store has confirmed lately that the configuration is the
  // newest. While it has not, an unknown key or route may be a new one.
  void SetConfigConfirmed(bool confirmed) { this->confirmed = confirmed; }

  std::variant<Refusal, Ticket> Admit(GatewayRequest request,
                                      coordination::TimePoint now);
  // Sets the request's worst case aside.
  BudgetVerdict Pay(Ticket& ticket, coordination::TimePoint now);
  std::variant<Refusal, SendOrder> NextSend(Ticket& ticket,
                                            coordination::TimePoint now);
  // Notes how a send ended. True when the request may be sent once more; then
  // NextSend says whether and where.
  bool OnSendEnded(Ticket& ticket, const SendOrder& order, SendOutcome outcome,
                   coordination::TimePoint now);
  // Whether the request may be sent to its upstream once more, where its kept
  // connection had ended. Takes one of the fleet's repeats: the upstream may
  // have the request already.
  bool MayResend(const Ticket& ticket, coordination::TimePoint now);
  // The refusal after the last send failed with this outcome.
  Refusal FinalRefusal(const Ticket& ticket, SendOutcome outcome) const;
  // An upstream's entry is about to go.
  void NoteUpstreamGone(std::string_view id, coordination::TimePoint now);
  // This start of an upstream has surely ended: its entry is that of another
  // start, its address refuses connections, or it has not come back.
  void NoteUpstreamDown(const UpstreamEntry& entry,
                        coordination::TimePoint now);
  // Forgets upstreams that did not come back with the store. Returns their ids.
  std::vector<std::string> ExpireUpstreams(coordination::TimePoint now);
  // Ends the request and settles its budget.
  void Finish(Ticket& ticket);

  UpstreamDirectory& Upstreams() { return this->upstreams; }
  UpstreamBoard& Board() { return this->board; }
  BudgetManager& Budgets() { return this->budgets; }
  CrashSuspects& Suspects() { return this->suspects; }
  VersionRollouts& Rollouts() { return this->rollouts; }
  LinkMeter& Link() { return this->link; }
  // Answers that are held until they are whole.
  HeldBytes& Held() { return this->held; }
  ReachMeter& Reach() { return this->reach; }
  std::size_t InFlight() const { return this->in_flight; }

 private:
  const Service* ChooseService(const RouteTable& table, const Route& route,
                               const GatewayRequest& request) const;
  std::vector<const UpstreamEntry*> UpstreamsFor(Ticket& ticket,
                                                 coordination::TimePoint now);
  Refusal RefuseSuspect(std::uint64_t fingerprint, coordination::TimePoint now);
  void NoteCrash(const Ticket& ticket, const SendOrder& order,
                 SendOutcome outcome, coordination::TimePoint now);
  void NoteEnd(const Ticket& ticket, const SendOrder& order,
               SendOutcome outcome, coordination::TimePoint now);
  std::size_t MostConnections(const Service& service) const;
  WindowedRetryBudget& RetryBudgetOf(const std::string& service);
  std::int64_t TokensUsed(const Ticket& ticket) const;

  GatewayOptions options;
  std::shared_ptr<const RouteTable> table;
  UpstreamDirectory upstreams;
  UpstreamBoard board;
  BudgetManager budgets;
  VersionRollouts rollouts;
  CrashSuspects suspects;
  LinkMeter link;
  HeldBytes held;
  ReachMeter reach;
  std::map<std::string, WindowedRetryBudget, std::less<>>
      retry_budgets;  // by service
  std::size_t in_flight = 0;
  std::int64_t fleet_size = 0;  // VMs; 0: not known yet
  bool confirmed = false;
};

}  // namespace hornbeamspool::policy
