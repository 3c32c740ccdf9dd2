#include "standin/order_load.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <string>
#include <utility>

#include "http/clock.h"

namespace hornbeamspool::standin {
namespace {

namespace net = boost::asio;

constexpr coordination::Duration kPollInterval = std::chrono::milliseconds(1);

std::string StatusOf(const http::FetchResult& result, const std::string& id) {
  if (result.status != http::FetchStatus::kOk) return "0";
  const http::Response& response = result.response;
  const bool is_own = response.body == "done " + id ||
                      response.body == "id: 0\ndata: done " + id + "\n\n";
  if (response.status < 300 && !is_own) return "mixed";
  return std::to_string(response.status);
}

}  // namespace

OrderLoad::OrderLoad(net::io_context& io, OrderLoadOptions options)
    : io(&io),
      options(std::move(options)),
      client(io),
      random(this->options.seed) {}

http::Task<void> OrderLoad::Run(std::ostream& statuses) {
  for (std::int64_t i = 0; i < this->options.concurrency; ++i) {
    ++this->callers;
    net::co_spawn(*this->io, this->RunCaller(statuses), net::detached);
  }
  http::Timer timer(*this->io);
  while (this->callers > 0) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(http::kAwait);
  }
}

http::Task<void> OrderLoad::RunCaller(std::ostream& statuses) {
  const coordination::TimePoint begin = Now();
  while (this->next < this->options.requests) {
    const std::int64_t number = this->next++;
    if (this->options.requests_per_second > 0) {
      http::Timer timer(*this->io);
      timer.expires_at(
          begin + number * coordination::Duration(std::chrono::seconds(1)) /
                      this->options.requests_per_second);
      co_await timer.async_wait(http::kAwait);
    }
    const std::string& path =
        this->options.paths[this->random() % this->options.paths.size()];
    const std::string id = this->options.id_prefix + path.substr(1, 1) + '-' +
                           std::to_string(number);
    const std::string& target =
        this->options.targets[static_cast<std::size_t>(number) %
                              this->options.targets.size()];
    http::Request request;
    request.method = "POST";
    request.target = path;
    request.body = "order " + id;
    request.headers = {
        {"Host", this->options.host},
        {"Attempt-Id", id},
        {"Authorization", "Bearer " + this->options.bearer},
        {"Deadline-Ms", std::to_string(coordination::Milliseconds(
                            this->options.caller_timeout))}};
    http::FetchOptions fetch;
    fetch.may_resend = nullptr;
    fetch.first_byte_timeout = 2 * this->options.caller_timeout;
    const http::FetchResult result =
        co_await this->client.Fetch(target, request, fetch);
    statuses << id << ' ' << StatusOf(result, id) << '\n';
  }
  --this->callers;
}

}  // namespace hornbeamspool::standin
