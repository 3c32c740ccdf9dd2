// A stand-in for a model engine, for tests and the embedded mode.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "http/exchange.h"
#include "http/server.h"
#include "http/task.h"
#include "standin/fault_injector.h"

namespace hornbeamspool::standin {

struct EngineOptions {
  std::string name;
  std::string version = "v1";
  // Holding more tokens crashes the engine, as if it ran out of memory.
  std::int64_t capacity_tokens = 40'000;
  std::int64_t batch = 64;  // maximum number of running sequences
  // Time of one step, in which each running sequence produces a token.
  coordination::Duration step = std::chrono::milliseconds(5);
  coordination::Duration prefill_per_token = std::chrono::microseconds(20);
  // Age of the reported load.
  coordination::Duration report_lag = std::chrono::milliseconds(500);
  // Downtime after a crash.
  coordination::Duration restart = std::chrono::seconds(2);
  bool check_fencing = false;  // reject outdated fencing tokens
};

// Simulates continuous batching with a bounded number of tokens in memory.
// Running more tokens than that, or a prompt with a crash marker, crashes the
// engine. It caches prompt prefixes, honours priorities, and resumes and
// cancels streams. Its load reports are delayed, and some of its cache events
// are missing, as those of a real engine are.
class EngineStandin {
 public:
  EngineStandin(boost::asio::io_context& io, EngineOptions options);

  // Starts the server and the batch. Returns the port, or 0 on failure.
  std::uint16_t Listen(std::string_view address);

 private:
  // A completion request.
  struct Sequence {
    explicit Sequence(boost::asio::io_context& io)
        : progress(io, http::Timer::time_point::max()) {}
    std::string id;
    std::string model;
    std::string prompt;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    std::int64_t priority = 0;
    std::int64_t produced = 0;
    std::int64_t prefill_steps = 0;  // steps left before the first token
    bool done = false;
    bool failed = false;   // cancelled, or lost in a crash
    http::Timer progress;  // cancelled to wake waiters after a change
  };
  using SequencePtr = std::shared_ptr<Sequence>;

  struct LoadSample {
    coordination::TimePoint at;
    std::int64_t held_tokens = 0;
    std::int64_t waiting = 0;
  };

  http::Task<void> Handle(http::Exchange& exchange);
  http::Task<void> HandleCompletion(http::Exchange& exchange);
  http::Task<void> SendStream(http::Exchange& exchange, SequencePtr sequence,
                              std::int64_t offset);
  http::Task<void> SendCompletion(http::Exchange& exchange,
                                  SequencePtr sequence);
  // Waits until the sequence has more than `produced` tokens, or is done.
  // Returns false if it failed.
  http::Task<bool> WaitForTokens(Sequence& sequence, std::int64_t produced);
  http::Task<void> HandleResume(http::Exchange& exchange);
  http::Task<void> RunBatch();
  void Step();
  void StartWaiting();
  void Crash();
  void Finish(Sequence& sequence);
  void CachePrefix(Sequence& sequence);
  http::Response LoadReport();
  http::Response CacheEvents(const http::Request& request);
  http::Response HandleOrder(const http::Request& request);
  http::Response HandleCancel(const http::Request& request);
  SequencePtr FindStream(std::string_view target) const;
  // Prompt and produced tokens of the running sequences.
  std::int64_t HeldTokens() const;

  boost::asio::io_context* io;
  EngineOptions options;
  http::Server server;
  FaultInjector fault_injector;
  std::list<SequencePtr> waiting;
  std::list<SequencePtr> running;
  std::map<std::string, SequencePtr, std::less<>>
      streams;                           // by id; also ended ones
  std::deque<std::string> stream_order;  // ids, oldest first
  std::deque<std::string> prefixes;      // least recently used first
  std::vector<std::pair<std::int64_t, std::string>> cache_events;
  std::int64_t cache_sequence = 0;
  std::deque<LoadSample> samples;
  coordination::TimePoint down_until{};
  std::int64_t fencing_number = 0;
  std::int64_t crashes = 0;
  std::string role = "serve";
};

}  // namespace hornbeamspool::standin
