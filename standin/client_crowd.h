// A crowd of misbehaving HTTP clients, for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

#include "coordination/time.h"
#include "http/task.h"

namespace hornbeamspool::standin {

// What each connection of a crowd sends. No client reads an answer.
struct CrowdMessage {
  std::string prefix;
  std::string piece;  // sent `pieces` times after the prefix
  std::int64_t pieces = 0;
  std::size_t batch = 1;           // pieces sent with one write
  coordination::Duration pause{};  // between two writes
};

struct CrowdRequest {
  std::string path = "/";
  std::string bearer;
  std::int64_t body_bytes = 0;
  std::int64_t chunk_bytes = 65'536;  // of chunked bodies
};

// The message of a kind of misbehaviour; nullopt if no kind has this name:
//   announced    a length far over the limit, and a part of the body
//   chunked      a chunked body of `body_bytes` without its last chunk
//   endless_head header fields without an end
//   slow_head    a head that arrives one byte at a time
//   pipelined    a body, and requests behind it
//   unread       a whole request whose answer is not read
//   idle         nothing
std::optional<CrowdMessage> MakeCrowdMessage(std::string_view kind,
                                             const CrowdRequest& request);

struct CrowdOptions {
  std::string target;  // ip:port
  std::int64_t connections = 48;
  CrowdMessage message;
  // How long connections stay open after each has sent its message.
  coordination::Duration hold = std::chrono::seconds(1);
  // When the connections are closed at the latest.
  coordination::Duration timeout = std::chrono::seconds(15);
};

class ClientCrowd {
 public:
  ClientCrowd(boost::asio::io_context& io, CrowdOptions options);

  // Opens the connections at once, and closes them at the end. Writes how many
  // connections sent their whole message, and the bytes that all of them sent.
  http::Task<void> Run(std::ostream& report);

 private:
  http::Task<void> RunClient(http::TcpSocket& socket);

  boost::asio::io_context* io;
  CrowdOptions options;
  std::int64_t sending = 0;  // clients
  std::int64_t completed = 0;
  std::int64_t sent_bytes = 0;
};

}  // namespace hornbeamspool::standin
