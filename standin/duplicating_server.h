// A stand-in for a server that sends some of its answers twice, for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <ostream>
#include <random>
#include <string>
#include <string_view>

#include "coordination/time.h"
#include "http/task.h"

namespace hornbeamspool::standin {

// Fractions are of the requests, unless noted otherwise.
struct DuplicatingServerOptions {
  std::string id;  // of this instance
  std::uint64_t seed = 1;
  double rejected = 0.3;    // 503 with Not-Executed
  double failed = 0.0;      // executed, and answered with a 503 of its own
  double unnamed = 0.5;     // of the rejections: without Attempt-Id
  double duplicated = 0.3;  // of the answers: sent a second time
  double spliced = 0.0;  // of the late copies: cut off before the next answer
  double cut = 0.0;      // executed, and the answer breaks off at any byte
  double split = 0.0;    // of the answers: sent byte by byte
  coordination::Duration work{};  // until an executed request is answered
};

// Answers requests on connections that it keeps open, with one event if the
// path begins with /draft/. The second copy of an answer follows at once, or
// after the next request on the connection has been read. Reports each executed
// request and each copy.
class DuplicatingServer {
 public:
  // Writes a line to `report` when a request is executed, "ran" and its
  // Attempt-Id, and a line "copy" when an answer is sent a second time.
  DuplicatingServer(boost::asio::io_context& io,
                    DuplicatingServerOptions options, std::ostream& report);

  // Returns the port, or 0 on failure.
  std::uint16_t Listen(std::string_view address);

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  http::Task<void> Accept();
  http::Task<void> Serve(http::TcpSocket socket);
  // Sends an answer, as a whole or byte by byte. Returns false if the
  // connection has failed.
  http::Task<bool> Send(http::TcpSocket& socket, std::string answer);
  // The answer's bytes. Sets `execute` when the request is executed.
  std::string Answer(const Request& request, bool& execute);
  bool Chance(double fraction);

  boost::asio::io_context* io;
  DuplicatingServerOptions options;
  http::TcpAcceptor acceptor;
  std::mt19937_64 random;
  std::ostream* report;
};

}  // namespace hornbeamspool::standin
