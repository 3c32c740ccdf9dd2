#include "standin/byte_sender.h"

#include <absl/strings/escaping.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "http/address.h"
#include "http/clock.h"
#include "transport/backoff_message.h"
#include "transport/budget_message.h"
#include "transport/crash_message.h"
#include "transport/heartbeat.h"
#include "transport/mac.h"
#include "transport/poison_part_message.h"
#include "transport/prefill_message.h"
#include "transport/rate_message.h"

namespace hornbeamspool::standin {
namespace {

namespace net = boost::asio;
using boost::system::error_code;

constexpr std::size_t kPausedPieces = 40;
constexpr coordination::Duration kPiecePause = std::chrono::milliseconds(1);
constexpr coordination::Duration kCallerPoll = std::chrono::milliseconds(20);

// How long an answer is awaited.
constexpr coordination::Duration kAnswerTimeout =
    std::chrono::milliseconds(150);

// One datagram of each type.
std::vector<std::string> SampleDatagrams() {
  transport::BudgetMessage budget;
  budget.sender = "vm-9";
  budget.organisation = "t";
  budget.amount = 100;
  policy::RateMessage rate;
  rate.sender = "vm-9";
  rate.instance = "i-1@1";
  rate.limited = true;
  rate.per_second = 3.5;
  transport::Heartbeat heartbeat;
  heartbeat.sender.name = "router-9";
  heartbeat.sender.peer_address = "127.0.0.1:9";
  heartbeat.sample.push_back(heartbeat.sender);
  policy::PoisonPartRecord part;
  part.part = 7;
  part.subject = "i-1@1";
  part.at = Now();
  policy::UpstreamBackoff::Notice notice;
  notice.instance = "i-1@1";
  notice.vm = "vm-9";
  notice.remaining = std::chrono::seconds(1);
  std::vector<std::string> datagrams =
      transport::EncodeBackoffMessages("vm-9", true, std::span(&notice, 1));
  datagrams.push_back(transport::EncodeBudgetMessage(budget));
  datagrams.push_back(transport::EncodeCrashMessage({"i-1@1", {1, 2, 3}}));
  datagrams.push_back(transport::EncodePrefillMessage({"i-1", 5000}));
  datagrams.push_back(transport::EncodeRateMessage(rate));
  datagrams.push_back(transport::EncodeHeartbeat(heartbeat));
  datagrams.push_back(
      transport::EncodePoisonPartMessage(std::span(&part, 1), part.at));
  return datagrams;
}

}  // namespace

http::Task<bool> SendInPieces(http::TcpSocket& socket, std::string_view bytes,
                              std::span<const std::size_t> pieces) {
  http::Timer timer(socket.get_executor());
  error_code error;
  std::size_t sent = 0;
  for (const std::size_t piece : pieces) {
    co_await net::async_write(socket, net::buffer(bytes.data(), piece),
                              net::redirect_error(http::kAwait, error));
    if (error) co_return false;
    bytes.remove_prefix(piece);
    if (bytes.empty() || ++sent > kPausedPieces) continue;
    timer.expires_after(kPiecePause);
    co_await timer.async_wait(http::kAwait);
  }
  co_return true;
}

std::vector<std::string> ReadCorpus(std::istream& text) {
  std::vector<std::string> corpus;
  std::string line;
  while (std::getline(text, line)) {
    if (line.empty() || line.starts_with('#')) continue;
    std::string message;
    if (!absl::CUnescape(line, &message)) return {};
    corpus.push_back(std::move(message));
  }
  return corpus;
}

ByteSender::ByteSender(net::io_context& io, ByteSenderOptions options)
    : io(&io), options(std::move(options)), mutator(this->options.seed) {}

http::Task<void> ByteSender::Run(std::ostream& report) {
  for (std::int64_t i = 0; i < this->options.concurrency; ++i) {
    ++this->callers;
    net::co_spawn(*this->io, this->RunCaller(), net::detached);
  }
  http::Timer timer(*this->io);
  while (this->callers > 0) {
    timer.expires_after(kCallerPoll);
    co_await timer.async_wait(http::kAwait);
  }
  report << "sent " << this->next << ", answered " << this->answered << '\n';
}

http::Task<void> ByteSender::RunCaller() {
  const auto sound = static_cast<std::int64_t>(this->options.corpus.size());
  while (this->next < this->options.messages + sound) {
    const auto number = static_cast<std::size_t>(this->next++);
    const bool unchanged = number < this->options.corpus.size();
    std::string message =
        this->options.corpus[unchanged ? number
                                       : this->mutator.Below(
                                             this->options.corpus.size())];
    if (!unchanged && this->mutator.Chance(this->options.mutated)) {
      message = this->mutator.Mutate(std::move(message));
    }
    const std::string& target =
        this->options.targets[number % this->options.targets.size()];
    co_await this->Send(target, std::move(message));
  }
  --this->callers;
}

http::Task<void> ByteSender::Send(std::string_view target,
                                  std::string message) {
  const auto endpoint = http::ParseTcpEndpoint(target);
  if (!endpoint) co_return;
  const auto socket = std::make_shared<http::TcpSocket>(*this->io);
  error_code error;
  co_await socket->async_connect(*endpoint,
                                 net::redirect_error(http::kAwait, error));
  if (error) co_return;
  socket->set_option(net::ip::tcp::no_delay(true), error);
  const std::vector<std::size_t> pieces =
      this->mutator.Split(message.size(), this->options.split);
  if (!co_await SendInPieces(*socket, message, pieces)) co_return;
  http::Timer timer(*this->io, kAnswerTimeout);
  timer.async_wait([socket](const error_code& cancelled) {
    error_code ignored;
    if (!cancelled) socket->cancel(ignored);
  });
  std::array<char, 4096> answer{};
  const std::size_t count = co_await socket->async_read_some(
      net::buffer(answer), net::redirect_error(http::kAwait, error));
  timer.cancel();
  if (count > 0) ++this->answered;
}

void SendDatagrams(const ByteSenderOptions& options, std::string_view key) {
  net::io_context io;
  http::UdpSocket socket(io, net::ip::udp::v4());
  ByteMutator mutator(options.seed);
  const std::vector<std::string> samples = SampleDatagrams();
  for (std::int64_t i = 0; i < options.messages; ++i) {
    std::string text = samples[mutator.Below(samples.size())];
    if (mutator.Chance(options.mutated)) text = mutator.Mutate(std::move(text));
    const std::string datagram = transport::AppendMac(key, text);
    for (const std::string& target : options.targets) {
      const auto endpoint = http::ParseUdpEndpoint(target);
      error_code ignored;
      if (endpoint) {
        socket.send_to(net::buffer(datagram), *endpoint, 0, ignored);
      }
    }
  }
}

}  // namespace hornbeamspool::standin
