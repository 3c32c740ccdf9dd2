#include "hornbeamspool/router_thread.h"

#include <exception>
#include <utility>
#include <variant>

#include "hornbeamspool/clock.h"

namespace hornbeamspool {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Interval of policy::Router::OnTick, which serves requests that wait for
// budget and writes bills.
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kStatusInterval = std::chrono::milliseconds(100);
constexpr std::size_t kPlatformCapacity = 4096;
constexpr std::size_t kPeerCapacity = 256;

// Moves messages in order from `unsent` to `queue` until the queue is full.
template <typename T>
void PushUntilFull(std::deque<T>& unsent, SpscQueue<T>& queue) {
  while (!unsent.empty() && queue.FreeSlots() > 0) {
    queue.TryPush(std::move(unsent.front()));
    unsent.pop_front();
  }
}

}  // namespace

RouterThread::RouterThread(policy::RouterOptions options,
                           std::size_t listener_capacity, Metrics& metrics,
                           EventSink& sink)
    : router(std::move(options)),
      metrics(&metrics),
      sink(&sink),
      on_exception(MakeFaultReporter("router", metrics, sink)),
      listener_queue(listener_capacity, [this] { this->wakeup.Notify(); }),
      platform_queue(kPlatformCapacity, [this] { this->wakeup.Notify(); }),
      peer_queue(kPeerCapacity, [this] { this->wakeup.Notify(); }) {}

RouterThread::~RouterThread() { this->Stop(); }

void RouterThread::Start(SpscQueue<policy::AdmissionReply>& to_listener,
                         SpscQueue<policy::TableCommand>& to_platform,
                         SpscQueue<PeerOutput>& to_peers) {
  this->to_listener = &to_listener;
  this->to_peers = &to_peers;
  this->to_platform = &to_platform;
  this->thread = std::thread([this] { this->Run(); });
}

void RouterThread::Stop() {
  this->exit_requested = true;
  this->wakeup.Notify();
  if (this->thread.joinable()) this->thread.join();
}

void RouterThread::Run() {
  TimePoint next_tick = Now();
  TimePoint next_publish = next_tick;
  while (!this->exit_requested) {
    this->wakeup.WaitFor(kTickInterval);
    // Step 1: handle incoming messages. Updates from the platform and the peers
    // go first, so that requests are decided on current state.
    this->platform_queue.Drain([this](PlatformMessage message) {
      this->Guard([&] { this->HandlePlatformMessage(std::move(message)); });
    });
    this->peer_queue.Drain([this](PeerUpdate update) {
      this->Guard([&] { this->HandlePeerUpdate(std::move(update)); });
    });
    this->listener_queue.Drain([this](policy::ListenerMessage message) {
      this->Guard([&] { this->HandleListenerMessage(std::move(message)); });
    });

    // Step 2: run the periodic work of the router.
    const TimePoint now = Now();
    if (now >= next_tick) {
      if (this->shutdown_requested) this->router.BeginStop();
      this->Guard([&] { this->router.OnTick(now, this->outbox); });
      next_tick = now + kTickInterval;
    }

    // Step 3: send the output and publish the status.
    this->FlushOutbox();
    if (now >= next_publish) {
      this->PublishStatus();
      next_publish = now + kStatusInterval;
    }
  }
}

template <typename Step>
void RouterThread::Guard(const Step& step) {
  try {
    step();
  } catch (const std::exception& exception) {
    this->on_exception(exception.what());
  }
}

void RouterThread::HandleListenerMessage(policy::ListenerMessage message) {
  const TimePoint now = Now();
  if (const auto* request = std::get_if<policy::AdmissionRequest>(&message)) {
    this->router.OnRequest(*request, now, this->outbox);
  } else if (const auto* retry = std::get_if<policy::RetryRequest>(&message)) {
    this->router.OnRetry(*retry, now, this->outbox);
  } else if (const auto* begun = std::get_if<policy::AnswerBegun>(&message)) {
    this->router.OnAnswerBegun(*begun, now);
  } else if (const auto* end = std::get_if<policy::Completion>(&message)) {
    this->router.OnCompletion(*end, now, this->outbox);
  } else if (const auto* answer =
                 std::get_if<policy::UpstreamAnswer>(&message)) {
    this->router.OnUpstreamAnswer(*answer, now, this->outbox);
  }
  this->FlushOutbox();
}

void RouterThread::HandlePlatformMessage(PlatformMessage message) {
  const TimePoint now = Now();
  if (const auto* reply = std::get_if<policy::TableReply>(&message)) {
    this->router.OnTableReply(*reply, now, this->outbox);
  } else if (auto* config = std::get_if<ConfigUpdate>(&message)) {
    this->router.SetConfig(config->epoch, std::move(config->config),
                           this->outbox);
    this->config_epoch = this->router.ConfigEpoch();
  } else if (const auto* listed = std::get_if<UpstreamListUpdate>(&message)) {
    this->router.SetUpstreams(listed->upstreams, this->outbox);
  } else if (const auto* load = std::get_if<LoadUpdate>(&message)) {
    this->router.SetReport(load->report);
    this->router.OnUpstreamAnswer(load->answer, now, this->outbox);
  }
  this->FlushOutbox();
}

void RouterThread::HandlePeerUpdate(PeerUpdate update) {
  if (auto* membership = std::get_if<MembershipUpdate>(&update)) {
    this->router.SetHolders(membership->alive_members);
    this->fleet_size = std::max<std::int64_t>(1, membership->alive_members);
    this->router.SetPeers(std::move(membership->peers), this->outbox);
    this->newest_epoch = std::max(this->newest_epoch, membership->newest_epoch);
  } else if (const auto* message = std::get_if<policy::RateMessage>(&update)) {
    this->router.OnPeerMessage(*message, Now(), this->outbox);
  } else if (const auto* records = std::get_if<PartRecords>(&update)) {
    this->router.OnPartRecords(*records, Now());
  }
  this->FlushOutbox();
}

void RouterThread::FlushOutbox() {
  for (policy::AdmissionReply& reply : this->outbox.replies) {
    this->unsent_replies.push_back(std::move(reply));
  }
  for (policy::TableCommand& command : this->outbox.commands) {
    this->unsent_commands.push_back(std::move(command));
  }
  for (policy::Event& event : this->outbox.events) {
    this->CountEvent(event);
    this->sink->Record(std::move(event));
  }
  // A full queue drops messages to peers; requests for permits then time out.
  for (policy::PeerMessage& message : this->outbox.peer_messages) {
    this->to_peers->TryPush(std::move(message));
  }
  // Records are sent again later.
  if (!this->outbox.part_records.empty()) {
    this->to_peers->TryPush(std::move(this->outbox.part_records));
  }
  this->outbox = {};
  PushUntilFull(this->unsent_replies, *this->to_listener);
  PushUntilFull(this->unsent_commands, *this->to_platform);
}

void RouterThread::CountEvent(const policy::Event& event) {
  if (event.kind == policy::EventKind::kBilled) {
    this->metrics->Add(Counter::kBills);
  } else if (event.kind == policy::EventKind::kBillDuplicate) {
    this->metrics->Add(Counter::kDuplicateBills);
  }
}

void RouterThread::PublishStatus() {
  NodeStatus next;
  std::vector<policy::RateLimits::Stats> limits = this->router.RateStats(Now());
  for (const policy::RateLimits::Stats& limit : limits) {
    next.limits[limit.instance] = limit.per_second;
  }
  this->metrics->SetRateLimits(std::move(limits));
  this->metrics->SetPoisonParts(this->router.Parts().SuspectedCount(),
                                this->router.Parts().NamedCount());
  for (const auto& notice : this->router.Backoff().Notices(Now())) {
    next.withheld.insert(notice.instance);
  }
  next.fleet_size = this->fleet_size;
  next.config_epoch = this->router.ConfigEpoch();
  // While a peer has a newer configuration, this node is not ready until it has
  // loaded that configuration.
  next.ready = this->router.Ready() && next.config_epoch >= this->newest_epoch;
  next.stopping = this->shutdown_requested;
  next.in_flight = this->router.InFlight();
  next.billing_backlog = this->router.BillingBacklog();
  for (const auto& [name, upstream] : this->router.Upstreams().All()) {
    next.upstreams.push_back(
        {name, upstream.listed.service, upstream.listed.version,
         upstream.listed.availability_zone, upstream.listed.draining,
         upstream.open_requests});
  }
  this->ready = next.ready;
  this->stopped = this->router.Stopped();
  this->status.Publish(std::move(next));
}

}  // namespace hornbeamspool
