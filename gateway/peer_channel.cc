#include "gateway/peer_channel.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <chrono>
#include <random>
#include <utility>
#include <vector>

#include "gateway/event_log.h"
#include "gateway/spawn.h"
#include "gateway/token_broker.h"
#include "hornbeamspool/clock.h"
#include "http/address.h"
#include "platform/own_row.h"
#include "policy/gateway_core.h"
#include "transport/heartbeat.h"
#include "transport/mac.h"

namespace hornbeamspool::gateway {
namespace {

using platform::StoreRow;
using platform::StoreStatus;

constexpr std::string_view kPeerTable = "gateways";  // VM to address
constexpr std::string_view kFleetTable = "fleet";    // settings of the fleet
constexpr std::string_view kKeyRow = "peer_key";
constexpr std::size_t kKeyBytes = 32;

// Datagrams a second to tell of sends: 12 KB, most of what a VM may spend on
// control in a large fleet.
constexpr double kMostPerSecond = 100;

constexpr coordination::Duration kRetryPause = std::chrono::milliseconds(300);

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
                         std::string vm, std::string address,
                         Receivers receivers)
    : context(context),
      store(&store),
      vm(std::move(vm)),
      address(std::move(address)),
      receivers(std::move(receivers)),
      directory(this->vm),
      table(*context.io, store, std::string(kPeerTable),
            {[this](const auto& rows) {
               std::vector<policy::Peer> peers;
               peers.reserve(rows.size());
               for (const StoreRow& row : rows) {
                 peers.push_back({row.key, row.value});
               }
               this->directory.Replace(std::move(peers));
               this->context.core->SetFleetSize(this->directory.Size() + 1);
               const bool first = !std::exchange(this->known, true);
               if (first) this->context.token_broker->LookAtHomes();
             },
             [this](const auto& rows) { this->OnRows(rows); }, [](bool) {},
             [this](std::string_view fault) {
               LogFault(this->context, kPeerTable, fault);
             }}),
      random(std::random_device{}()) {}

void PeerChannel::OnRows(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    if (row.removed) {
      this->directory.Remove(row.key);
      continue;
    }
    this->directory.Put({row.key, row.value});
  }
  this->context.core->SetFleetSize(this->directory.Size() + 1);
}

std::string PeerChannel::Start() {
  const auto endpoint = http::ParseUdp(this->address);
  if (!endpoint) return "cannot read the address " + this->address;
  try {
    this->socket =
        std::make_unique<http::UdpSocket>(*this->context.io, *endpoint);
  } catch (const boost::system::system_error&) {
    return "cannot bind " + this->address;
  }
  SpawnDuty(this->context, "peer_receive", [this] { return this->Receive(); });
  SpawnDuty(this->context, "peer_register",
            [this] { return this->Register(); });
  this->table.Start();
  return {};
}

http::Task<void> PeerChannel::Register() {
  http::Timer timer(*this->context.io);
  while (this->key.empty() || !co_await this->Announce()) {
    if (this->key.empty() && co_await this->LearnKey()) continue;
    timer.expires_after(kRetryPause);
    co_await timer.async_wait(http::kAwait);
  }
}

// Reads the fleet's key, or leaves one where there is none.
http::Task<bool> PeerChannel::LearnKey() {
  const platform::KeyRange all;
  const platform::StoreAnswer read =
      co_await this->store->Read(std::string(kFleetTable), all);
  if (read.status != StoreStatus::kOk) co_return false;
  for (const StoreRow& row : read.rows) {
    if (row.key == kKeyRow) this->key = row.value;
  }
  if (!this->key.empty()) co_return true;
  std::vector<StoreRow> rows{
      {std::string(kFleetTable), std::string(kKeyRow), RandomKey()}};
  const platform::StoreAnswer written = co_await this->store->Write(rows);
  if (written.status == StoreStatus::kOk) this->key = rows.front().value;
  // Another gateway was first, or nobody knows: read again.
  co_return !this->key.empty();
}

http::Task<bool> PeerChannel::Announce() {
  if (this->leaving) co_return true;
  co_return co_await platform::WriteOwnRow(
      *this->store, std::string(kPeerTable), this->vm, this->address);
}

http::Task<void> PeerChannel::Leave() {
  this->leaving = true;
  co_await platform::RemoveOwnRow(*this->store, std::string(kPeerTable),
                                  this->vm);
}

bool PeerChannel::SendSealed(std::string_view vm, std::string_view datagram) {
  const std::string address = this->directory.AddressOf(vm);
  const auto endpoint = http::ParseUdp(address);
  if (!endpoint || this->key.empty()) return false;
  boost::system::error_code error;
  this->socket->send_to(boost::asio::buffer(datagram), *endpoint, 0, error);
  return !error;
}

bool PeerChannel::Send(std::string_view vm,
                       const transport::BudgetMessage& message) {
  const std::string text = transport::EncodeBudgetMessage(message);
  return this->SendSealed(vm, transport::AppendMac(this->key, text));
}

// All peers share the key: one seal serves them.
void PeerChannel::SendTo(const std::vector<std::string>& peers,
                         std::string_view text) {
  const std::string datagram = transport::AppendMac(this->key, text);
  for (const std::string& vm : peers) this->SendSealed(vm, datagram);
}

void PeerChannel::SendToAll(const transport::CrashMessage& message) {
  this->SendTo(this->directory.All(), transport::EncodeCrashMessage(message));
}

void PeerChannel::SendToSome(const transport::PrefillMessage& message,
                             coordination::TimePoint now) {
  const std::chrono::duration<double> passed = now - this->allowance_at;
  this->allowance = std::min(kMostPerSecond,
                             this->allowance + passed.count() * kMostPerSecond);
  this->allowance_at = now;
  std::vector<std::string> peers = this->directory.All();
  const auto most = static_cast<std::size_t>(this->allowance);
  if (peers.size() > most) {
    std::shuffle(peers.begin(), peers.end(), this->random);
    peers.resize(most);
  }
  this->allowance -= static_cast<double>(peers.size());
  this->SendTo(peers, transport::EncodePrefillMessage(message));
}

void PeerChannel::Dispatch(std::string_view payload) {
  if (const auto message = transport::DecodeBudgetMessage(payload)) {
    this->directory.OnAnswer(message->sender);
    this->receivers.on_budget(*message);
  } else if (const auto crash = transport::DecodeCrashMessage(payload)) {
    this->receivers.on_crash(*crash);
  } else if (const auto prompt = transport::DecodePrefillMessage(payload)) {
    this->receivers.on_prompt(*prompt);
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
    // An error of an earlier send, such as a port that nobody listens on.
    if (error) continue;
    const auto payload = transport::VerifyMac(this->key, {bytes.data(), count});
    if (!payload || this->key.empty()) continue;
    this->Dispatch(*payload);
  }
}

}  // namespace hornbeamspool::gateway
