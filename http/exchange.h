// One HTTP request that a server received, and the sending of its response.
#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

#include "http/message.h"
#include "http/task.h"

namespace hornbeamspool::http {

// Given to the server's handler for each request. The handler answers either
// with Send(), or with BeginStream(), any number of Write() and EndStream().
// Each of these returns false when the client has disconnected, when a write
// has failed, or when a write has exceeded its time limit.
class Exchange {
 public:
  Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  virtual ~Exchange() = default;

  virtual const Request& GetRequest() const = 0;

  // Reserves memory for `bytes` more of the response, until it is complete.
  // Returns false if the process has none left.
  virtual bool TryReserve(std::size_t bytes) = 0;

  // Sends a complete response.
  virtual Task<bool> Send(Response response) = 0;

  // Sends the status and headers of a chunked response; ignores `head.body`.
  virtual Task<bool> BeginStream(Response head) = 0;
  // Sends one chunk. Applies backpressure: completes only when the socket has
  // accepted the bytes. Empty `bytes` send nothing.
  virtual Task<bool> Write(std::string_view bytes) = 0;
  // Sends the terminating chunk.
  virtual Task<bool> EndStream() = 0;

  // Calls `notify` once if the client closes the connection, or its sending
  // side of it, before the response is complete. An empty `notify` removes the
  // callback. Disconnects are no longer detected once the client has pipelined
  // another request.
  virtual void OnDisconnect(std::function<void()> notify) = 0;

  // Closes the connection without the terminating chunk, so that the client
  // recognises the response as truncated.
  virtual void Abort() = 0;
};

}  // namespace hornbeamspool::http
