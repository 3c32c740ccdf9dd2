// A stand-in for a model engine: batches continuously, holds a bounded number
// of tokens and falls over beyond it, caches prompt prefixes, honours
// priorities, resumes and cancels streams, reports load with a lag and cache
// events late and with gaps.
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
  std::int64_t capacity_tokens = 40'000;
  std::int64_t batch = 64;  // sequences that run at once
  coordination::Duration step = std::chrono::milliseconds(5);
  coordination::Duration prefill_per_token = std::chrono::microseconds(20);
  coordination::Duration report_lag = std::chrono::milliseconds(500);
  coordination::Duration restart = std::chrono::seconds(2);
  bool check_fencing = false;
};

class EngineStandin {
 public:
  EngineStandin(boost::asio::io_context& io, EngineOptions options);

  // Returns the port, 0 on failure.
  std::uint16_t Listen(std::string_view address);

 private:
  // One request that the engine holds.
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
    std::int64_t prefill_steps = 0;  // before the first token
    bool done = false;
    bool failed = false;
    http::Timer progress;  // cancelled when something changed
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
  std::int64_t HeldTokens() const;

  boost::asio::io_context* io;
  EngineOptions options;
  http::Server server;
  FaultInjector fault_injector;
  std::list<SequencePtr> waiting;
  std::list<SequencePtr> running;
  std::map<std::string, SequencePtr, std::less<>> streams;  // also ended ones
  std::deque<std::string> stream_order;
  std::deque<std::string> prefixes;  // least recently used first
  std::vector<std::pair<std::int64_t, std::string>> cache_events;
  std::int64_t cache_sequence = 0;
  std::deque<LoadSample> samples;
  coordination::TimePoint down_until{};
  std::int64_t fencing_number = 0;
  std::int64_t crashes = 0;
  std::string role = "serve";
};

}  // namespace hornbeamspool::standin
