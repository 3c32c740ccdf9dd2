#include "gateway/peer_channel.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <chrono>
#include <iterator>
#include <random>
#include <utility>
#include <vector>

#include "gateway/event_log.h"
#include "gateway/spawn.h"
#include "gateway/token_broker.h"
#include "hornbeamspool/clock.h"
#include "http/address.h"
#include "platform/single_writer_row.h"
#include "policy/gateway_core.h"
#include "transport/heartbeat.h"
#include "transport/mac.h"
#include "transport/poison_part_message.h"
#include "transport/rate_message.h"
#include "transport/speed_message.h"

namespace hornbeamspool::gateway {
namespace {

using platform::StoreRow;
using platform::StoreStatus;

constexpr std::string_view kPeerTable = "gateways";  // addresses by VM
constexpr std::string_view kFleetTable = "fleet";    // fleet-wide settings
constexpr std::string_view kKeyRow = "peer_key";
constexpr std::size_t kKeyBytes = 32;

// Datagrams a second that SendToRandomPeers may send. They take 12 KB/s, most
// of what a VM may spend on control traffic in a large fleet.
constexpr double kMaxSendsPerSecond = 100;

constexpr coordination::Duration kRetryInterval =
    std::chrono::milliseconds(300);

std::string RandomKey() {
  std::random_device random;
  std::string key;
  while (key.size() < kKeyBytes) {
    key += static_cast<char>(random() & 0xffU);
  }
  return key;
}

}  // namespace

PeerChannel::PeerChannel(const Context& context, platform::StoreClient& store,
                         std::string vm, std::string address, Handlers handlers)
    : context(context),
      store(&store),
      vm(std::move(vm)),
      address(std::move(address)),
      handlers(std::move(handlers)),
      directory(this->vm),
      table(*context.io, store, std::string(kPeerTable),
            {[this](const auto& rows) {
               std::vector<policy::Peer> peers;
               peers.reserve(rows.size());
               for (const StoreRow& row : rows) {
                 peers.push_back({row.key, row.value});
               }
               this->directory.Replace(std::move(peers));
               this->context.core->SetPeers(this->directory.All());
               const bool first = !std::exchange(this->table_loaded, true);
               if (first) this->context.token_broker->RefreshHomes();
             },
             [this](const auto& rows) { this->ApplyRows(rows); }, [](bool) {},
             [this](std::string_view message) {
               LogException(this->context, kPeerTable, message);
             }}),
      random(std::random_device{}()) {}

void PeerChannel::ApplyRows(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    if (row.removed) {
      this->directory.Remove(row.key);
      continue;
    }
    this->directory.Put({row.key, row.value});
  }
  this->context.core->SetPeers(this->directory.All());
}

std::string PeerChannel::Start() {
  const auto endpoint = http::ParseUdpEndpoint(this->address);
  if (!endpoint) return "cannot read the address " + this->address;
  try {
    this->socket =
        std::make_unique<http::UdpSocket>(*this->context.io, *endpoint);
  } catch (const boost::system::system_error&) {
    return "cannot bind " + this->address;
  }
  SpawnBackgroundTask(this->context, "peer_receive",
                      [this] { return this->Receive(); });
  SpawnBackgroundTask(this->context, "peer_register",
                      [this] { return this->Register(); });
  this->table.Start();
  return {};
}

http::Task<void> PeerChannel::Register() {
  http::Timer timer(*this->context.io);
  while (this->key.empty() || !co_await this->WriteAddress()) {
    if (this->key.empty() && co_await this->ReadOrCreateKey()) continue;
    timer.expires_after(kRetryInterval);
    co_await timer.async_wait(http::kAwait);
  }
}

// Reads the fleet's key, or writes a new one when there is none. False: try
// again.
http::Task<bool> PeerChannel::ReadOrCreateKey() {
  const platform::KeyRange all;
  const platform::StoreResponse read =
      co_await this->store->Read(std::string(kFleetTable), all);
  if (read.status != StoreStatus::kOk) co_return false;
  for (const StoreRow& row : read.rows) {
    if (row.key == kKeyRow) this->key = row.value;
  }
  if (!this->key.empty()) co_return true;
  std::vector<StoreRow> rows{
      {std::string(kFleetTable), std::string(kKeyRow), RandomKey()}};
  const platform::StoreResponse written = co_await this->store->Write(rows);
  if (written.status == StoreStatus::kOk) this->key = rows.front().value;
  // After a conflict or an unknown outcome the key must be read again.
  co_return !this->key.empty();
}

void PeerChannel::OnRestored() {
  if (this->key.empty()) return;  // Register is still running
  Spawn(this->context, "peer_restore", this->WriteAgain());
}

http::Task<void> PeerChannel::WriteAgain() {
  http::Timer timer(*this->context.io);
  while (!co_await this->WriteKey() || !co_await this->WriteAddress()) {
    timer.expires_after(kRetryInterval);
    co_await timer.async_wait(http::kAwait);
  }
}

// Writes the key unless the store holds one. False: try again.
http::Task<bool> PeerChannel::WriteKey() {
  const std::vector<StoreRow> rows{
      {std::string(kFleetTable), std::string(kKeyRow), this->key}};
  const platform::StoreResponse written = co_await this->store->Write(rows);
  co_return written.status == StoreStatus::kOk ||
      written.status == StoreStatus::kConflict;
}

http::Task<bool> PeerChannel::WriteAddress() {
  if (this->unregistered) co_return true;
  co_return co_await platform::UpsertRow(*this->store, std::string(kPeerTable),
                                         this->vm, this->address);
}

http::Task<void> PeerChannel::Unregister() {
  this->unregistered = true;
  co_await platform::DeleteRow(*this->store, std::string(kPeerTable), this->vm);
}

bool PeerChannel::SendDatagram(std::string_view vm, std::string_view datagram) {
  const std::string address = this->directory.AddressOf(vm);
  const auto endpoint = http::ParseUdpEndpoint(address);
  if (!endpoint || this->key.empty()) return false;
  boost::system::error_code error;
  this->socket->send_to(boost::asio::buffer(datagram), *endpoint, 0, error);
  return !error;
}

bool PeerChannel::Send(std::string_view vm,
                       const transport::BudgetMessage& message) {
  const std::string text = transport::EncodeBudgetMessage(message);
  return this->SendDatagram(vm, transport::AppendMac(this->key, text));
}

bool PeerChannel::Send(std::string_view vm,
                       const policy::RateMessage& message) {
  const std::string text = transport::EncodeRateMessage(message);
  return this->SendDatagram(vm, transport::AppendMac(this->key, text));
}

bool PeerChannel::Send(std::string_view vm, BackoffNotices notices) {
  bool sent = false;
  for (const std::string& text :
       transport::EncodeBackoffMessages(this->vm, false, notices)) {
    sent = this->SendDatagram(vm, transport::AppendMac(this->key, text));
  }
  return sent;
}

// All peers share the key, so that one authenticated datagram serves them all.
void PeerChannel::SendAuthenticated(const std::vector<std::string>& peers,
                                    std::string_view text) {
  const std::string datagram = transport::AppendMac(this->key, text);
  for (const std::string& vm : peers) this->SendDatagram(vm, datagram);
}

void PeerChannel::SendToAll(const transport::CrashMessage& message) {
  this->SendAuthenticated(this->directory.All(),
                          transport::EncodeCrashMessage(message));
}

void PeerChannel::SendToAll(const policy::RateMessage& message) {
  this->SendAuthenticated(this->directory.All(),
                          transport::EncodeRateMessage(message));
}

void PeerChannel::SendToAll(std::span<const policy::PoisonPartRecord> records,
                            coordination::TimePoint now) {
  for (const std::string& text :
       transport::EncodePoisonPartMessages(records, now)) {
    this->SendAuthenticated(this->directory.All(), text);
  }
}

void PeerChannel::SendToAll(BackoffNotices notices) {
  for (const std::string& text :
       transport::EncodeBackoffMessages(this->vm, false, notices)) {
    this->SendAuthenticated(this->directory.All(), text);
  }
}

std::vector<std::string> PeerChannel::RandomPeers(
    std::size_t count, std::minstd_rand& random) const {
  const std::vector<std::string> all = this->directory.All();
  std::vector<std::string> peers;
  std::sample(all.begin(), all.end(), std::back_inserter(peers), count, random);
  return peers;
}

void PeerChannel::SendToSome(BackoffNotices notices, std::size_t count,
                             std::minstd_rand& random) {
  for (const std::string& vm : this->RandomPeers(count, random)) {
    this->Send(vm, notices);
  }
}

std::int64_t PeerChannel::SendToSome(const policy::SpeedMessage& message,
                                     std::size_t count) {
  if (message.Empty()) return 0;
  const std::vector<std::string> peers = this->RandomPeers(count, this->random);
  this->SendAuthenticated(peers, transport::EncodeSpeedMessage(message));
  return static_cast<std::int64_t>(peers.size());
}

std::size_t PeerChannel::SendBackoffQuery(std::size_t count,
                                          std::minstd_rand& random) {
  std::size_t sent = 0;
  const std::string text =
      transport::EncodeBackoffMessages(this->vm, true, {}).front();
  const std::string datagram = transport::AppendMac(this->key, text);
  for (const std::string& vm : this->RandomPeers(count, random)) {
    if (this->SendDatagram(vm, datagram)) ++sent;
  }
  return sent;
}

void PeerChannel::SendToRandomPeers(const transport::PrefillMessage& message,
                                    coordination::TimePoint now) {
  const std::chrono::duration<double> passed = now - this->send_credit_at;
  this->send_credit =
      std::min(kMaxSendsPerSecond,
               this->send_credit + passed.count() * kMaxSendsPerSecond);
  this->send_credit_at = now;
  std::vector<std::string> peers = this->directory.All();
  const auto limit = static_cast<std::size_t>(this->send_credit);
  if (peers.size() > limit) {
    std::shuffle(peers.begin(), peers.end(), this->random);
    peers.resize(limit);
  }
  this->send_credit -= static_cast<double>(peers.size());
  this->SendAuthenticated(peers, transport::EncodePrefillMessage(message));
}

std::string PeerChannel::Authenticate(std::string_view text) const {
  return transport::AppendMac(this->key, text);
}

std::optional<std::string_view> PeerChannel::Verify(
    std::string_view bytes) const {
  if (this->key.empty()) return std::nullopt;
  return transport::VerifyMac(this->key, bytes);
}

void PeerChannel::Dispatch(std::string_view payload) {
  if (const auto message = transport::DecodeBudgetMessage(payload)) {
    this->directory.OnAnswer(message->sender);
    this->handlers.on_budget(*message);
  } else if (const auto crash = transport::DecodeCrashMessage(payload)) {
    this->handlers.on_crash(*crash);
  } else if (const auto prefill = transport::DecodePrefillMessage(payload)) {
    this->handlers.on_prefill(*prefill);
  } else if (const auto rate = transport::DecodeRateMessage(payload)) {
    this->directory.OnAnswer(rate->sender);
    this->handlers.on_rate(*rate);
  } else if (const auto parts =
                 transport::DecodePoisonPartMessage(payload, Now())) {
    this->handlers.on_parts(*parts);
  } else if (const auto backoff = transport::DecodeBackoffMessage(payload)) {
    this->handlers.on_backoff(*backoff);
  } else if (const auto speed = transport::DecodeSpeedMessage(payload)) {
    this->handlers.on_speed(*speed);
  }
}

http::Task<void> PeerChannel::Receive() {
  std::array<char, transport::kMaxDatagramBytes> bytes{};
  while (true) {
    boost::asio::ip::udp::endpoint from;
    boost::system::error_code error;
    const std::size_t count = co_await this->socket->async_receive_from(
        boost::asio::buffer(bytes), from,
        boost::asio::redirect_error(http::kAwait, error));
    if (error == boost::asio::error::operation_aborted) co_return;
    // The error of an earlier send, such as an ICMP port unreachable.
    if (error) continue;
    const auto payload = this->Verify({bytes.data(), count});
    if (!payload) continue;
    this->Dispatch(*payload);
  }
}

}  // namespace hornbeamspool::gateway
