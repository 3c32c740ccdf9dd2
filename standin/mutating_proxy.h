// A TCP proxy that sends malformed bytes, for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http/task.h"
#include "standin/byte_mutator.h"

namespace hornbeamspool::standin {

struct MutatingProxyOptions {
  std::string target;  // ip:port of the server
  std::uint64_t seed = 1;
  double mutated = 0.1;  // fraction of the server's messages, as they are read
  double split = 0.3;    // fraction that is sent in pieces
};

// Passes requests on unchanged, and some of the answers with changes or in
// pieces.
class MutatingProxy {
 public:
  MutatingProxy(boost::asio::io_context& io, MutatingProxyOptions options);

  // Returns the port, or 0 on failure.
  std::uint16_t Listen(std::string_view address);

 private:
  struct Link;

  http::Task<void> Accept();
  http::Task<void> Serve(std::shared_ptr<Link> link);
  http::Task<void> PassRequests(std::shared_ptr<Link> link);
  http::Task<void> PassAnswers(std::shared_ptr<Link> link);

  boost::asio::io_context* io;
  MutatingProxyOptions options;
  http::TcpAcceptor acceptor;
  ByteMutator mutator;
};

}  // namespace hornbeamspool::standin
