#include "hornbeamspool/daemon.h"

#include <charconv>
#include <thread>
#include <utility>

#include "hornbeamspool/clock.h"

namespace hornbeamspool {
namespace {

constexpr coordination::Duration kDrainPollInterval =
    std::chrono::milliseconds(20);

// The wall-clock time in microseconds distinguishes this process from earlier
// ones of the node.
std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(WallNow().time_since_epoch().count());
}

std::string MakeHolderName(const settings::NodeSettings& settings,
                           std::uint64_t incarnation) {
  return settings.name + '@' + std::to_string(incarnation);
}

std::string MakeRequestPrefix(const settings::NodeSettings& settings,
                              std::uint64_t incarnation) {
  constexpr int kBase = 36;
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 incarnation, kBase);
  return settings.name + '-' + std::string(digits.data(), end.ptr) + '-';
}

policy::RouterOptions MakeRouterOptions(const settings::NodeSettings& settings,
                                        std::uint64_t incarnation) {
  policy::RouterOptions options;
  options.node = settings.name;
  options.incarnation = incarnation;
  options.availability_zone = settings.availability_zone;
  options.max_in_flight =
      static_cast<std::size_t>(settings.callers.max_in_flight);
  return options;
}

policy::Event MakeEvent(policy::EventKind kind, std::string detail = {}) {
  policy::Event event;
  event.kind = kind;
  event.detail = std::move(detail);
  return event;
}

}  // namespace

Daemon::Daemon(const settings::NodeSettings& settings)
    : settings(settings),
      incarnation(NewIncarnation()),
      recorder(settings.name, settings.log_level, this->metrics),
      main_sink(&this->recorder.AddSink()),
      listener_sink(&this->recorder.AddSink()),
      router_sink(&this->recorder.AddSink()),
      platform_sink(&this->recorder.AddSink()),
      peer_sink(&this->recorder.AddSink()),
      operator_sink(&this->recorder.AddSink()),
      router(MakeRouterOptions(settings, this->incarnation),
             CallerServer::QueueCapacity(settings.callers), this->metrics,
             *this->router_sink),
      platform(settings, MakeHolderName(settings, this->incarnation),
               this->metrics, *this->platform_sink, this->router.Status()),
      callers(settings.callers, MakeRequestPrefix(settings, this->incarnation),
              this->metrics, *this->listener_sink, this->router.Ready()),
      peers(settings, this->incarnation, this->metrics, *this->peer_sink,
            this->recorder, this->platform, this->router.ConfigEpoch()),
      operators(settings,
                OperatorSources{&this->router.Status(), &this->peers.Members(),
                                &this->recorder, &this->metrics},
                *this->operator_sink) {}

Daemon::~Daemon() {
  this->callers.Stop();
  this->operators.Stop();
  this->peers.Stop();
  this->router.Stop();
  this->platform.Stop();
  this->recorder.Stop();
}

std::string Daemon::Start() {
  this->recorder.Start();
  this->main_sink->Record(MakeEvent(
      policy::EventKind::kStarted,
      policy::KeyValue("availability_zone", this->settings.availability_zone)));
  this->router.Start(this->callers.Replies(), this->platform.Commands(),
                     this->peers.Outgoing());
  this->platform.Start(this->router.PlatformQueue());
  if (!this->peers.Start(this->router.PeerQueue())) {
    return "cannot bind peers.address " + this->settings.peers.address;
  }
  if (!this->operators.Start()) {
    return "cannot listen on operators.address " +
           this->settings.operators.address;
  }
  if (!this->callers.Start(this->router.ListenerQueue())) {
    return "cannot listen on callers.address " + this->settings.callers.address;
  }
  return {};
}

bool Daemon::Shutdown() {
  this->main_sink->Record(MakeEvent(policy::EventKind::kStopping));
  const coordination::TimePoint deadline = Now() + this->settings.drain_timeout;
  // Step 1: stop new work. The peers and the table of routers learn that this
  // node leaves, and the callers' listener closes.
  this->peers.AnnounceLeave();
  this->platform.Unregister();
  this->callers.Drain();
  // Step 2: wait for the requests in flight.
  while (Now() < deadline && this->callers.OpenConnections() > 0) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  // Step 3: write the bills and return the grants.
  this->router.BeginStop();
  while (Now() < deadline && !this->router.Stopped()) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  const bool clean = this->router.Stopped();
  this->main_sink->Record(
      MakeEvent(policy::EventKind::kStopped,
                policy::KeyValue("clean", clean ? "true" : "false")));
  return clean;
}

}  // namespace hornbeamspool
