#include "standin/fault_gate.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <utility>

namespace hornbeamspool::standin {
namespace {

constexpr coordination::Duration kFrozenPoll = std::chrono::milliseconds(5);

}  // namespace

bool FaultGate::Set(std::string_view text) {
  boost::json::error_code error;
  const auto document = boost::json::parse(text, error);
  if (error || !document.is_object()) return false;
  const auto& object = document.get_object();
  if (const auto* value = object.if_contains("down")) {
    this->faults.down = value->is_bool() && value->get_bool();
  }
  if (const auto* value = object.if_contains("frozen")) {
    this->faults.frozen = value->is_bool() && value->get_bool();
  }
  if (const auto* value = object.if_contains("slow_ms")) {
    this->faults.slow =
        std::chrono::milliseconds(value->is_int64() ? value->get_int64() : 0);
  }
  if (const auto* value = object.if_contains("lose_answers")) {
    this->faults.lose_answers = value->is_int64() ? value->get_int64() : 0;
  }
  return true;
}

boost::asio::awaitable<void> FaultGate::Sleep(coordination::Duration duration) {
  boost::asio::steady_timer timer(*this->io, duration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

boost::asio::awaitable<bool> FaultGate::Enter(http::Exchange& exchange) {
  while (this->faults.frozen) {
    co_await this->Sleep(kFrozenPoll);
  }
  if (this->faults.slow.count() > 0) {
    co_await this->Sleep(this->faults.slow);
  }
  if (!this->faults.down) co_return true;
  exchange.Abort();
  co_return false;
}

boost::asio::awaitable<void> FaultGate::Leave(http::Exchange& exchange,
                                              http::Response response) {
  if (this->faults.lose_answers > 0) {
    --this->faults.lose_answers;
    exchange.Abort();
    co_return;
  }
  co_await exchange.Send(std::move(response));
}

}  // namespace hornbeamspool::standin
