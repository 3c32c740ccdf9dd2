#include "standin/load_generator.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "http/event_stream.h"
#include "http/task.h"

namespace hornbeamspool::standin {
namespace {

namespace json = boost::json;
namespace net = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadBufferBytes = 8 * 1024;
constexpr coordination::Duration kPollInterval = std::chrono::milliseconds(1);

double Milliseconds(Clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

LoadGenerator::LoadGenerator(net::io_context& io, LoadOptions options)
    : io(&io), options(std::move(options)), client(io) {}

http::Task<LoadResult> LoadGenerator::Run() {
  const Clock::time_point started = Clock::now();
  for (std::int64_t i = 0; i < this->options.concurrency; ++i) {
    ++this->callers;
    net::co_spawn(*this->io, this->RunCaller(), net::detached);
  }
  http::Timer timer(*this->io);
  while (this->callers > 0) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(http::kAwait);
  }
  this->result.seconds = Milliseconds(Clock::now() - started) / 1000;
  co_return std::move(this->result);
}

http::Task<void> LoadGenerator::RunCaller() {
  while (this->next < this->options.requests) {
    co_await this->SendRequest(this->next++);
  }
  --this->callers;
}

http::Request LoadGenerator::MakeRequest(std::int64_t number) const {
  http::Request request;
  request.method = "POST";
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + this->options.bearer},
                     {"X-Request-Id", std::to_string(number)}};
  if (!this->options.key_prefix.empty()) {
    request.headers.push_back(
        {"Idempotency-Key", this->options.key_prefix + std::to_string(number)});
  }
  if (!this->options.plain_path.empty()) {
    request.target = this->options.plain_path;
    request.body = json::serialize(json::object{{"order", number}});
    return request;
  }
  request.target = "/v1/chat/completions";
  std::string prompt = std::to_string(number);
  prompt.resize(static_cast<std::size_t>(this->options.prompt_bytes), 'k');
  json::object body{{"model", this->options.model},
                    {"stream", this->options.stream},
                    {"max_tokens", this->options.max_tokens},
                    {"messages", json::array{json::object{
                                     {"role", "user"}, {"content", prompt}}}}};
  request.body = json::serialize(body);
  return request;
}

http::Task<void> LoadGenerator::SendRequest(std::int64_t number) {
  const Clock::time_point started = Clock::now();
  http::FetchOptions fetch;
  fetch.first_byte_timeout = std::chrono::seconds(60);
  fetch.read_timeout = std::chrono::seconds(60);
  const http::OpenResult opened = co_await this->client.Open(
      this->options.target, this->MakeRequest(number), fetch);
  if (opened.status != http::FetchStatus::kOk) {
    ++this->result.broken;
    co_return;
  }
  const std::uint16_t status = opened.stream->Head().status;
  const bool streamed = opened.stream->Head()
                            .HeaderValue("Content-Type")
                            .starts_with("text/event-stream");
  http::EventStreamParser events;
  std::vector<char> buffer(kReadBufferBytes);
  std::optional<Clock::time_point> last;
  bool done = !streamed;
  while (true) {
    const http::ReadResult read = co_await opened.stream->Read(buffer);
    if (read.status != http::FetchStatus::kOk) {
      ++this->result.broken;
      co_return;
    }
    if (read.count == 0) break;
    if (!streamed) continue;
    events.Feed({buffer.data(), read.count});
    const Clock::time_point now = Clock::now();
    while (const auto event = events.Next()) {
      if (event->data == "[DONE]") {
        done = true;
        continue;
      }
      if (event->data.find("\"content\"") == std::string_view::npos) continue;
      ++this->result.tokens;
      if (last) {
        this->result.token_gap_ms.push_back(Milliseconds(now - *last));
      } else {
        this->result.first_token_ms.push_back(Milliseconds(now - started));
      }
      last = now;
    }
    if (this->options.read_delay.count() > 0) {
      http::Timer timer(*this->io, this->options.read_delay);
      co_await timer.async_wait(http::kAwait);
    }
  }
  if (status >= 300) {
    ++this->result.refused;
  } else if (!done) {
    ++this->result.broken;
  } else {
    ++this->result.completed;
    this->result.completion_ms.push_back(Milliseconds(Clock::now() - started));
  }
}

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::ptrdiff_t>(
      fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

}  // namespace hornbeamspool::standin
