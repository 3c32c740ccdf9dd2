#include "standin/fault_injector.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "http/task.h"

namespace hornbeamspool::standin {
namespace {

constexpr std::size_t kEndlessChunkBytes = 8 * 1024;

constexpr coordination::Duration kFrozenPollInterval =
    std::chrono::milliseconds(5);

}  // namespace

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool FaultInjector::Set(std::string_view text) {
  boost::json::error_code error;
  const auto document = boost::json::parse(text, error);
  if (error || !document.is_object()) return false;
  const auto& object = document.get_object();
  const auto set_flag = [&](std::string_view key, bool& flag) {
    const auto* value = object.if_contains(key);
    if (value != nullptr) flag = value->is_bool() && value->get_bool();
  };
  const auto set_number = [&](std::string_view key, std::int64_t& number) {
    const auto* value = object.if_contains(key);
    if (value == nullptr) return;
    number = value->is_int64() ? value->get_int64() : 0;
  };
  const auto set_duration = [&](std::string_view key,
                                coordination::Duration& duration) {
    std::int64_t milliseconds = duration / std::chrono::milliseconds(1);
    set_number(key, milliseconds);
    duration = std::chrono::milliseconds(milliseconds);
  };
  const auto set_text = [&](std::string_view key, std::string& text) {
    const auto* value = object.if_contains(key);
    if (value == nullptr) return;
    text = value->is_string() ? std::string(value->get_string()) : "";
  };
  set_text("limit", this->faults.limit);
  set_text("pause", this->faults.pause);
  set_flag("leaving", this->faults.leaving);
  set_flag("down", this->faults.down);
  set_flag("frozen", this->faults.frozen);
  set_flag("fail", this->faults.fail);
  set_flag("endless", this->faults.endless);
  set_duration("slow_ms", this->faults.slow);
  set_number("lose_answers", this->faults.lose_answers);
  set_duration("lag_ms", this->faults.lag);
  set_number("gap_every", this->faults.gap_every);
  return true;
}

http::Task<void> FaultInjector::Sleep(coordination::Duration duration) {
  http::Timer timer(*this->io, duration);
  co_await timer.async_wait(http::kAwait);
}

http::Task<bool> FaultInjector::HandleControl(http::Exchange& exchange) {
  const http::Request& request = exchange.GetRequest();
  if (request.Path() != "/faults") co_return false;
  const bool valid = this->Set(request.body);
  co_await exchange.Send(http::JsonResponse(valid ? 200 : 400, "{}"));
  co_return true;
}

http::Task<bool> FaultInjector::HandleArrivals(http::Exchange& exchange) {
  if (exchange.GetRequest().Path() != "/arrivals") co_return false;
  http::Response list;
  list.body = this->arrivals;
  co_await exchange.Send(std::move(list));
  co_return true;
}

void FaultInjector::CountArrival(const http::Request& request) {
  std::string_view answer = "plain";
  if (this->faults.leaving) answer = "leaving";
  if (!this->faults.pause.empty()) answer = "paused";
  this->arrivals += std::to_string(UnixMs()) + ' ' + request.target + ' ';
  this->arrivals += answer;
  this->arrivals += '\n';
}

void FaultInjector::AddAnnouncements(http::Response& response) const {
  if (!this->faults.limit.empty()) {
    response.headers.push_back({"Server-Limit", this->faults.limit});
  }
  if (this->faults.leaving) {
    response.headers.push_back({"Server-Leaving", "1"});
  }
}

http::Task<bool> FaultInjector::HandlePause(http::Exchange& exchange) {
  if (this->faults.pause.empty()) co_return false;
  http::Response rejection = http::JsonResponse(503, "{}");
  const std::string_view attempt =
      exchange.GetRequest().HeaderValue("Attempt-Id");
  rejection.headers.push_back({"Attempt-Id", std::string(attempt)});
  rejection.headers.push_back({"Not-Executed", "1"});
  rejection.headers.push_back({"Retry-After", this->faults.pause});
  this->AddAnnouncements(rejection);
  co_await exchange.Send(std::move(rejection));
  co_return true;
}

http::Task<bool> FaultInjector::BeforeRequest(http::Exchange& exchange) {
  while (this->faults.frozen) {
    co_await this->Sleep(kFrozenPollInterval);
  }
  if (this->faults.slow.count() > 0) {
    co_await this->Sleep(this->faults.slow);
  }
  if (!this->faults.down) co_return true;
  exchange.Abort();
  co_return false;
}

http::Task<void> FaultInjector::Respond(http::Exchange& exchange,
                                        http::Response response) {
  if (this->faults.lose_answers > 0) {
    --this->faults.lose_answers;
    exchange.Abort();
    co_return;
  }
  if (this->faults.fail) response.status = 500;
  if (this->faults.endless) {
    const std::string bytes(kEndlessChunkBytes, 'x');
    bool open = co_await exchange.BeginStream(std::move(response));
    while (open) {
      open = co_await exchange.Write(bytes);
    }
    co_return;
  }
  co_await exchange.Send(std::move(response));
}

}  // namespace hornbeamspool::standin
