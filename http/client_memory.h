// The memory that the connections of a process hold for bytes of clients.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "http/task.h"
#include "policy/buffering/memory_account.h"

namespace hornbeamspool::http {

// One account for all servers on an io_context. Connections reserve memory
// before they use it, and wait for a bounded time when there is none. Meanwhile
// those that make no progress are given up. Not thread-safe: runs on the one
// thread of its io_context.
class ClientMemory {
 private:
  struct State;

 public:
  // What one connection holds. May outlive the ClientMemory.
  class Holder {
   public:
    // `give_up` aborts the connection's operation; called at most once. It must
    // not destroy the holder. `client_left` tells whether the client has closed
    // the connection; such a holder doesn't wait.
    Holder(ClientMemory& memory, std::function<void()> give_up,
           std::function<bool()> client_left);
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;
    ~Holder();

    // Sets what the connection holds. Returns false, without effect, if there
    // is no room.
    bool TryResize(std::size_t bytes);
    // Adds memory for a part of an answer, which comes before all requests.
    bool TryAddForAnswer(std::size_t more);
    // As TryResize(), but waits for memory. Returns false when the connection
    // is given up. It must be one that may be.
    Task<bool> Resize(std::size_t bytes);
    std::size_t Bytes() const { return this->bytes; }
    // Counts bytes that were received or sent.
    void OnProgress(std::size_t bytes);
    // Whether the connection may be given up at this time: not while its
    // request runs.
    void SetMayGiveUp(bool may_give_up);
    bool GivenUp() const { return this->given_up; }

   private:
    friend class ClientMemory;
    std::shared_ptr<State> state;
    std::function<void()> give_up;
    std::function<bool()> client_left;
    policy::MemoryAccount::Id id;
    std::size_t bytes = 0;
    Timer granted;  // expires when the wait ends
    bool given_up = false;
  };

  ClientMemory(boost::asio::io_context& io, const policy::MemoryLimits& limits);
  ClientMemory(const ClientMemory&) = delete;
  ClientMemory& operator=(const ClientMemory&) = delete;

  // Of all holders.
  std::size_t Reserved() const;

 private:
  static Task<void> Sweep(std::shared_ptr<State> state);

  std::shared_ptr<State> state;
};

}  // namespace hornbeamspool::http
