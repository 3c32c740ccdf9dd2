// Faults of a stand-in, switched on and off by PUT /faults.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string_view>

#include "coordination/time.h"
#include "http/exchange.h"
#include "http/message.h"
#include "http/task.h"

namespace hornbeamspool::standin {

// {"down": true, "frozen": true, "slow_ms": 200, "lose_answers": 3,
//  "lag_ms": 5000, "gap_every": 7, "fail": true,
//  "endless": true}
struct Faults {
  bool down = false;              // connections are cut without an answer
  bool frozen = false;            // requests wait until it thaws
  coordination::Duration slow{};  // added before each answer
  std::int64_t lose_answers = 0;  // carried out, and the answer is lost
  coordination::Duration lag{};   // age of lists and reports; 0: the usual
  std::int64_t gap_every = 0;     // one event in so many is lost; 0: the usual
  bool fail = false;              // answers tell of a failure
  bool endless = false;           // bodies that go on until the caller closes
};

class FaultInjector {
 public:
  explicit FaultInjector(boost::asio::io_context& io) : io(&io) {}

  // Members that are absent keep their value. Returns false when the text is
  // not understood.
  bool Set(std::string_view text);
  const Faults& Active() const { return this->faults; }

  // Answers PUT /faults. False: the request is another.
  http::Task<bool> HandleControl(http::Exchange& exchange);
  // Before a request is carried out. False: it was cut.
  http::Task<bool> BeforeRequest(http::Exchange& exchange);
  // Sends the answer, or loses it.
  http::Task<void> Respond(http::Exchange& exchange, http::Response response);

 private:
  http::Task<void> Sleep(coordination::Duration duration);

  boost::asio::io_context* io;
  Faults faults;
};

}  // namespace hornbeamspool::standin
