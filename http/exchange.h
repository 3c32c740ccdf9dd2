// One request and the answer to it, on a connection of a server.
#pragma once

#include <functional>
#include <string_view>

#include "http/message.h"
#include "http/task.h"

namespace hornbeamspool::http {

class Exchange {
 public:
  Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  virtual ~Exchange() = default;

  virtual const Request& GetRequest() const = 0;

  // Sends a whole answer. Returns false when the caller is gone.
  virtual Task<bool> Send(Response response) = 0;

  // Sends the head of a chunked answer; `head.body` is not used.
  virtual Task<bool> BeginStream(Response head) = 0;
  // Sends one chunk. Waits while the caller reads slowly.
  virtual Task<bool> Write(std::string_view bytes) = 0;
  virtual Task<bool> EndStream() = 0;

  // Calls `notify` once when the caller closes its side before the answer has
  // ended. A pipelined request ends the watch; so does an empty `notify`.
  virtual void OnDisconnect(std::function<void()> notify) = 0;

  // Closes the connection without ending the answer, so that a caller sees
  // that it is not whole.
  virtual void Abort() = 0;
};

}  // namespace hornbeamspool::http
