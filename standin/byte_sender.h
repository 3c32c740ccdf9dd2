// Sends messages to processes as they are and malformed, for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <istream>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "http/task.h"
#include "standin/byte_mutator.h"

namespace hornbeamspool::standin {

// Writes `bytes` in pieces of these sizes, with a short pause after each of the
// first ones. Returns false if the connection has failed.
http::Task<bool> SendInPieces(http::TcpSocket& socket, std::string_view bytes,
                              std::span<const std::size_t> pieces);

// Reads messages from lines with C escape sequences. Lines that are empty or
// begin with '#' are skipped. Returns an empty list if a line is invalid.
std::vector<std::string> ReadCorpus(std::istream& text);

struct ByteSenderOptions {
  std::vector<std::string> targets;  // ip:port
  std::vector<std::string> corpus;   // messages that are sound
  std::uint64_t seed = 1;
  std::int64_t messages = 1000;
  std::int64_t concurrency = 8;
  double mutated = 0.8;  // fraction of the messages
  double split = 0.5;    // fraction sent in pieces
};

// Sends each message of the corpus unchanged and then random ones, some of them
// malformed, each on a new TCP connection.
class ByteSender {
 public:
  ByteSender(boost::asio::io_context& io, ByteSenderOptions options);

  // Writes how many connections brought an answer.
  http::Task<void> Run(std::ostream& report);

 private:
  http::Task<void> RunCaller();
  http::Task<void> Send(std::string_view target, std::string message);

  boost::asio::io_context* io;
  ByteSenderOptions options;
  ByteMutator mutator;
  std::int64_t next = 0;
  std::int64_t callers = 0;
  std::int64_t answered = 0;
};

// Sends malformed datagrams of each type, authenticated with `key`, to the
// targets of `options`; its corpus is not used.
void SendDatagrams(const ByteSenderOptions& options, std::string_view key);

}  // namespace hornbeamspool::standin
