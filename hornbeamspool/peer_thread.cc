#include "hornbeamspool/peer_thread.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <utility>
#include <variant>

#include "hornbeamspool/clock.h"
#include "http/address.h"
#include "http/background_task.h"
#include "http/task.h"
#include "transport/mac.h"
#include "transport/poison_part_message.h"
#include "transport/rate_message.h"

namespace hornbeamspool {
namespace {

namespace net = boost::asio;
using coordination::MemberState;

// Maximum number of member reports in one heartbeat.
constexpr std::size_t kMaxSampledMembers = 8;
// Messages of the router that are not sent yet; more are dropped.
constexpr std::size_t kOutgoingCapacity = 1024;
// A member becomes suspect after this many heartbeat intervals of silence.
constexpr int kSuspectAfterHeartbeats = 6;

coordination::MemberTiming MakeMemberTiming(
    const settings::PeerSettings& settings) {
  coordination::MemberTiming timing;
  timing.suspect_after = settings.heartbeat * kSuspectAfterHeartbeats;
  return timing;
}

}  // namespace

PeerThread::PeerThread(const settings::NodeSettings& settings,
                       std::uint64_t incarnation, Metrics& metrics,
                       EventSink& sink, Recorder& recorder,
                       PlatformThread& platform,
                       const std::atomic<std::uint64_t>& config_epoch)
    : settings(settings),
      incarnation(incarnation),
      metrics(&metrics),
      sink(&sink),
      recorder(&recorder),
      platform(&platform),
      config_epoch(&config_epoch),
      on_exception(MakeFaultReporter("peers", metrics, sink)),
      socket(this->io),
      outgoing_wakeup(this->io, [this] { this->SendOutgoing(); }),
      outgoing(kOutgoingCapacity, [this] { this->outgoing_wakeup.Notify(); }),
      membership(MakeMemberTiming(settings.peers)),
      random(static_cast<std::minstd_rand::result_type>(incarnation)) {}

PeerThread::~PeerThread() { this->Stop(); }

bool PeerThread::Start(SpscQueue<PeerUpdate>& to_router) {
  this->to_router = &to_router;
  const auto endpoint = http::ParseUdpEndpoint(this->settings.peers.address);
  if (!endpoint) return false;
  boost::system::error_code error;
  this->socket.open(endpoint->protocol(), error);
  if (!error) this->socket.bind(*endpoint, error);
  if (!error) this->socket.non_blocking(true, error);
  if (error) return false;
  http::SpawnBackgroundTask(
      this->io, [this] { return this->Receive(); }, this->on_exception);
  http::SpawnBackgroundTask(
      this->io, [this] { return this->SendHeartbeats(); }, this->on_exception);
  this->thread =
      std::thread([this] { http::RunEventLoop(this->io, this->on_exception); });
  return true;
}

void PeerThread::Stop() {
  this->io.stop();
  if (this->thread.joinable()) this->thread.join();
}

http::Task<void> PeerThread::Receive() {
  std::array<char, 2 * transport::kMaxDatagramBytes> buffer{};
  while (true) {
    net::ip::udp::endpoint sender;
    boost::system::error_code error;
    const std::size_t count = co_await this->socket.async_receive_from(
        net::buffer(buffer), sender, net::redirect_error(http::kAwait, error));
    if (error == net::error::operation_aborted) co_return;
    if (!error) this->HandleDatagram({buffer.data(), count});
  }
}

// Datagrams that fail authentication or decoding are counted and dropped.
void PeerThread::HandleDatagram(std::string_view datagram) {
  const auto payload = transport::VerifyMac(this->settings.peers.key, datagram);
  if (payload) {
    if (auto message = transport::DecodeRateMessage(*payload)) {
      // A full queue drops the message; its sender repeats a request.
      this->to_router->TryPush(std::move(*message));
      return;
    }
    if (auto records = transport::DecodePoisonPartMessage(*payload, Now())) {
      this->to_router->TryPush(std::move(*records));
      return;
    }
  }
  const auto heartbeat =
      payload ? transport::DecodeHeartbeat(*payload) : std::nullopt;
  if (!heartbeat) {
    this->metrics->Add(Counter::kHeartbeatsDropped);
    return;
  }
  this->metrics->Add(Counter::kHeartbeatsReceived);
  this->recorder->ObserveRemote(heartbeat->sent_at);
  const coordination::TimePoint now = Now();
  this->membership.Observe(heartbeat->sender, now);
  for (const coordination::MemberReport& report : heartbeat->sample) {
    if (report.name == this->settings.name) continue;
    this->membership.Observe(report, now);
  }
  this->platform->OnPeerEpoch(heartbeat->sender.config_epoch);
}

http::Task<void> PeerThread::SendHeartbeats() {
  http::Timer timer(this->io);
  while (true) {
    const transport::Heartbeat heartbeat = this->BuildHeartbeat();
    const std::string datagram = transport::AppendMac(
        this->settings.peers.key, transport::EncodeHeartbeat(heartbeat));
    for (const std::string& target : this->SelectTargets()) {
      this->SendTo(target, datagram);
    }
    this->PublishMembership();
    timer.expires_after(this->settings.peers.heartbeat);
    co_await timer.async_wait(http::kAwait);
  }
}

transport::Heartbeat PeerThread::BuildHeartbeat() {
  transport::Heartbeat heartbeat;
  heartbeat.sent_at = this->recorder->NextTimestamp();
  heartbeat.sender.name = this->settings.name;
  heartbeat.sender.availability_zone = this->settings.availability_zone;
  heartbeat.sender.peer_address = this->settings.peers.address;
  heartbeat.sender.operator_address = this->settings.operators.address;
  heartbeat.sender.incarnation = this->incarnation;
  heartbeat.sender.beat = ++this->heartbeats_sent;
  heartbeat.sender.config_epoch = this->config_epoch->load();
  heartbeat.sender.leaving = this->leaving;
  this->membership.Observe(heartbeat.sender, Now());
  heartbeat.sample = this->membership.Sample(kMaxSampledMembers);
  return heartbeat;
}

// Up to `fanout` random peers, from the table of routers and the membership
// view together.
std::vector<std::string> PeerThread::SelectTargets() {
  std::vector<std::string> addresses = *this->platform->PeerAddresses().Read();
  for (const auto& [name, member] : this->membership.Members()) {
    addresses.push_back(member.report.peer_address);
  }
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()),
                  addresses.end());
  std::erase(addresses, this->settings.peers.address);
  std::shuffle(addresses.begin(), addresses.end(), this->random);
  const auto fanout = static_cast<std::size_t>(this->settings.peers.fanout);
  if (addresses.size() > fanout) addresses.resize(fanout);
  return addresses;
}

void PeerThread::SendTo(const std::string& address, std::string_view datagram) {
  const auto endpoint = http::ParseUdpEndpoint(address);
  if (!endpoint) return;
  boost::system::error_code ignored;
  this->socket.send_to(net::buffer(datagram.data(), datagram.size()), *endpoint,
                       0, ignored);
  this->metrics->Add(Counter::kHeartbeatsSent);
  this->metrics->Add(Counter::kHeartbeatBytesSent,
                     static_cast<std::int64_t>(datagram.size()));
}

void PeerThread::PublishMembership() {
  for (const std::string& name : this->membership.Advance(Now())) {
    const coordination::Member& member = this->membership.Members().at(name);
    policy::Event event;
    event.kind = policy::EventKind::kMemberChanged;
    event.detail =
        policy::KeyValue("member", name) + ' ' +
        policy::KeyValue("state", coordination::MemberStateName(member.state));
    this->sink->Record(std::move(event));
  }
  MembershipUpdate update;
  std::vector<coordination::Member> list;
  for (const auto& [name, member] : this->membership.Members()) {
    list.push_back(member);
    if (member.state != MemberState::kLeaving) update.peers.push_back(name);
    update.newest_epoch =
        std::max(update.newest_epoch, member.report.config_epoch);
  }
  update.alive_members =
      static_cast<std::int64_t>(this->membership.CountAlive());
  this->members.Publish(std::move(list));
  // A full queue drops this update; a newer one follows after the heartbeat
  // interval.
  this->to_router->TryPush(std::move(update));
}

// Sends the messages of the router to the members that are known by name.
void PeerThread::SendOutgoing() {
  this->outgoing.Drain([this](const PeerOutput& output) {
    if (const auto* message = std::get_if<policy::PeerMessage>(&output)) {
      this->SendToMembers(message->to,
                          transport::EncodeRateMessage(message->message));
      return;
    }
    for (const std::string& text : transport::EncodePoisonPartMessages(
             std::get<PartRecords>(output), Now())) {
      this->SendToMembers({}, text);
    }
  });
}

void PeerThread::SendToMembers(std::string_view to, std::string_view text) {
  const std::string datagram =
      transport::AppendMac(this->settings.peers.key, text);
  for (const auto& [name, member] : this->membership.Members()) {
    const bool addressed =
        to.empty() ? name != this->settings.name : name == to;
    if (addressed) this->SendTo(member.report.peer_address, datagram);
  }
}

}  // namespace hornbeamspool
