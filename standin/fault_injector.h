// Fault injection for the stand-ins, controlled by PUT /faults.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/time.h"
#include "http/exchange.h"
#include "http/message.h"
#include "http/task.h"

namespace hornbeamspool::standin {

// The active faults. In JSON:
// {"down": true, "frozen": true, "slow_ms": 200, "lose_answers": 3,
//  "lag_ms": 5000, "gap_every": 7, "fail": true,
//  "endless": true, "limit": "3.5", "leaving": true, "pause": "2.5"}
struct Faults {
  bool down = false;              // connections are closed without an answer
  bool frozen = false;            // requests wait until this is false
  coordination::Duration slow{};  // delay before each request
  std::int64_t lose_answers = 0;  // number of answers to lose
  coordination::Duration lag{};   // age of load reports; 0: the default
  std::int64_t gap_every = 0;     // drops every nth event; 0: the default
  bool fail = false;              // answers have status 500
  bool endless = false;           // bodies end only when the caller closes
  std::string limit;     // rate limit that answers name, verbatim; empty: none
  bool leaving = false;  // answers say that the upstream is leaving
  // Requests are rejected with this Retry-After, verbatim; empty: they are not.
  std::string pause;
};

std::int64_t UnixMs();

// Applies the active faults to the requests of one stand-in. Its server calls
// HandleControl, BeforeRequest and Respond for each request, in this order.
class FaultInjector {
 public:
  explicit FaultInjector(boost::asio::io_context& io) : io(&io) {}

  // Sets faults from JSON; absent ones keep their value. Returns false if the
  // text is not a JSON object.
  bool Set(std::string_view text);
  const Faults& Active() const { return this->faults; }

  // Answers a request for /faults. Returns false for any other path.
  http::Task<bool> HandleControl(http::Exchange& exchange);
  // Answers a request for /arrivals with a line for each counted request: the
  // Unix time of its arrival in milliseconds, its target, and "paused",
  // "leaving" or "plain" by what its answer says. Returns false for any other
  // path.
  http::Task<bool> HandleArrivals(http::Exchange& exchange);
  void CountArrival(const http::Request& request);
  // Adds what the upstream announces in each of its answers.
  void AddAnnouncements(http::Response& response) const;
  // Rejects a request while a pause is set. Returns false when none is.
  http::Task<bool> HandlePause(http::Exchange& exchange);
  // Delays a request before it is executed. Returns false if its connection was
  // closed instead.
  http::Task<bool> BeforeRequest(http::Exchange& exchange);
  // Sends the answer to an executed request. Active faults may change or drop
  // it.
  http::Task<void> Respond(http::Exchange& exchange, http::Response response);

 private:
  http::Task<void> Sleep(coordination::Duration duration);

  boost::asio::io_context* io;
  Faults faults;
  std::string arrivals;
};

}  // namespace hornbeamspool::standin
