#include "standin/engine_standin.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

#include "coordination/rendezvous.h"
#include "http/task.h"

namespace hornbeamspool::standin {
namespace {

namespace json = boost::json;
namespace net = boost::asio;
using coordination::TimePoint;

constexpr std::int64_t kBytesPerToken = 4;
constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kMaxPrefixes = 64;
constexpr std::size_t kMaxKeptStreams = 2000;
// Every event whose sequence number is a multiple of this is dropped.
constexpr std::int64_t kDroppedEventInterval = 7;
// A prompt that contains this text crashes the engine that runs it.
constexpr std::string_view kCrashMarker = "CRASH-THE-ENGINE";
constexpr std::string_view kStreamPrefix = "/v1/streams/";

constexpr std::array<std::string_view, 12> kWords{
    "kelp", "crisp", "dry",  "batch",   "label", "herb",
    "dose", "print", "zone", "morning", "buyer", "stock"};

TimePoint Now() {
  return std::chrono::time_point_cast<coordination::Duration>(
      std::chrono::steady_clock::now());
}

// Deterministic: every engine gives the same word for a prompt and index.
std::string Word(std::string_view prompt, std::int64_t index) {
  const std::uint64_t hash =
      coordination::StableHash(prompt, static_cast<std::uint64_t>(index));
  return std::string(kWords[hash % kWords.size()]) + ' ';
}

std::int64_t NumberOr(const json::object& object, std::string_view key,
                      std::int64_t fallback) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_int64() ? value->get_int64() : fallback;
}

json::object UsageObject(std::int64_t prompt, std::int64_t completion) {
  return {{"prompt_tokens", prompt},
          {"completion_tokens", completion},
          {"total_tokens", prompt + completion}};
}

json::object ChunkObject(std::string_view id, std::string_view model) {
  return {{"id", std::string("chatcmpl-") + std::string(id)},
          {"object", "chat.completion.chunk"},
          {"created", 0},
          {"model", model}};
}

std::string Event(const json::object& chunk) {
  return "data: " + json::serialize(chunk) + "\n\n";
}

std::string TokenEvent(std::string_view id, std::string_view model,
                       std::string word, bool last) {
  json::object choice{{"index", 0},
                      {"delta", json::object{{"content", std::move(word)}}},
                      {"finish_reason", nullptr}};
  if (last) choice["finish_reason"] = "length";
  json::object chunk = ChunkObject(id, model);
  chunk["choices"] = json::array{std::move(choice)};
  return Event(chunk);
}

http::Response EngineError(std::uint16_t status, std::string_view message) {
  return http::JsonResponse(
      status, json::serialize(
                  json::object{{"error", json::object{{"message", message}}}}));
}

}  // namespace

EngineStandin::EngineStandin(net::io_context& io, EngineOptions options)
    : io(&io),
      options(std::move(options)),
      server(
          io, http::ServerLimits{},
          [this](http::Exchange& exchange) { return this->Handle(exchange); },
          [](http::RejectReason) { return EngineError(400, "malformed"); }),
      fault_injector(io) {}

std::uint16_t EngineStandin::Listen(std::string_view address) {
  const std::uint16_t port = this->server.Listen(address);
  if (port != 0) net::co_spawn(*this->io, this->RunBatch(), net::detached);
  return port;
}

http::Task<void> EngineStandin::Handle(http::Exchange& exchange) {
  const http::Request& request = exchange.GetRequest();
  const std::string_view path = request.Path();
  if (co_await this->fault_injector.HandleControl(exchange)) co_return;
  if (Now() < this->down_until) {
    exchange.Abort();
    co_return;
  }
  if (!co_await this->fault_injector.BeforeRequest(exchange)) co_return;
  if (path == "/v1/chat/completions") {
    co_await this->HandleCompletion(exchange);
  } else if (path.starts_with(kStreamPrefix) && request.method == "GET") {
    co_await this->HandleResume(exchange);
  } else if (path.starts_with(kStreamPrefix)) {
    co_await exchange.Send(this->HandleCancel(request));
  } else if (path == "/api/report") {
    co_await exchange.Send(this->LoadReport());
  } else if (path == "/cache-events") {
    co_await exchange.Send(this->CacheEvents(request));
  } else if (path == "/orders") {
    co_await this->fault_injector.Respond(exchange, this->HandleOrder(request));
  } else {
    co_await exchange.Send(EngineError(404, "not found"));
  }
}

http::Task<void> EngineStandin::HandleCompletion(http::Exchange& exchange) {
  const http::Request& request = exchange.GetRequest();
  json::error_code error;
  const json::value document = json::parse(request.body, error);
  if (error || !document.is_object()) {
    co_await exchange.Send(EngineError(400, "not a JSON object"));
    co_return;
  }
  const json::object& body = document.get_object();
  auto sequence = std::make_shared<Sequence>(*this->io);
  sequence->id = std::string(request.HeaderValue("X-Request-Id"));
  const json::value* model = body.if_contains("model");
  if (model != nullptr && model->is_string()) {
    sequence->model = std::string(model->get_string());
  }
  const json::value* messages = body.if_contains("messages");
  if (messages != nullptr) sequence->prompt = json::serialize(*messages);
  sequence->prompt_tokens =
      static_cast<std::int64_t>(sequence->prompt.size()) / kBytesPerToken + 1;
  sequence->max_tokens = NumberOr(body, "max_tokens", 16);
  sequence->priority = NumberOr(body, "priority", 0);
  this->CachePrefix(*sequence);
  this->waiting.push_back(sequence);
  this->streams[sequence->id] = sequence;
  this->stream_order.push_back(sequence->id);
  if (this->stream_order.size() > kMaxKeptStreams) {
    this->streams.erase(this->stream_order.front());
    this->stream_order.pop_front();
  }
  const json::value* stream = body.if_contains("stream");
  const bool streamed =
      stream != nullptr && stream->is_bool() && stream->get_bool();
  if (streamed) {
    co_await this->SendStream(exchange, std::move(sequence), 0);
  } else {
    co_await this->SendCompletion(exchange, std::move(sequence));
  }
}

http::Task<bool> EngineStandin::WaitForTokens(Sequence& sequence,
                                              std::int64_t produced) {
  while (!sequence.done && !sequence.failed && sequence.produced <= produced) {
    boost::system::error_code ignored;
    co_await sequence.progress.async_wait(
        net::redirect_error(http::kAwait, ignored));
  }
  co_return !sequence.failed;
}

http::Task<void> EngineStandin::SendStream(http::Exchange& exchange,
                                           SequencePtr sequence,
                                           std::int64_t offset) {
  http::Response head;
  head.headers = {{"Content-Type", "text/event-stream"}};
  if (!co_await exchange.BeginStream(std::move(head))) co_return;
  std::int64_t sent = offset;
  while (sent < sequence->max_tokens) {
    if (!co_await this->WaitForTokens(*sequence, sent)) {
      exchange.Abort();
      co_return;
    }
    // A frozen engine also stops in the middle of its streams.
    if (!co_await this->fault_injector.BeforeRequest(exchange)) co_return;
    std::string events;
    while (sent < sequence->produced) {
      const bool last = sent + 1 == sequence->max_tokens;
      events += TokenEvent(sequence->id, sequence->model,
                           Word(sequence->prompt, sent), last);
      ++sent;
    }
    if (!co_await exchange.Write(events)) co_return;
  }
  json::object chunk = ChunkObject(sequence->id, sequence->model);
  chunk["choices"] = json::array();
  chunk["usage"] = UsageObject(sequence->prompt_tokens, sequence->max_tokens);
  if (!co_await exchange.Write(Event(chunk) + "data: [DONE]\n\n")) co_return;
  co_await exchange.EndStream();
}

http::Task<void> EngineStandin::SendCompletion(http::Exchange& exchange,
                                               SequencePtr sequence) {
  while (!sequence->done) {
    if (!co_await this->WaitForTokens(*sequence, sequence->produced)) {
      exchange.Abort();
      co_return;
    }
  }
  std::string text;
  for (std::int64_t i = 0; i < sequence->max_tokens; ++i) {
    text += Word(sequence->prompt, i);
  }
  json::object message{{"role", "assistant"}, {"content", std::move(text)}};
  json::object choice{{"index", 0},
                      {"message", std::move(message)},
                      {"finish_reason", "length"}};
  json::object answer = ChunkObject(sequence->id, sequence->model);
  answer["object"] = "chat.completion";
  answer["choices"] = json::array{std::move(choice)};
  answer["usage"] = UsageObject(sequence->prompt_tokens, sequence->max_tokens);
  co_await this->fault_injector.Respond(
      exchange, http::JsonResponse(200, json::serialize(answer)));
}

EngineStandin::SequencePtr EngineStandin::FindStream(
    std::string_view target) const {
  const auto found = this->streams.find(target.substr(kStreamPrefix.size()));
  return found == this->streams.end() ? nullptr : found->second;
}

http::Task<void> EngineStandin::HandleResume(http::Exchange& exchange) {
  const http::Request& request = exchange.GetRequest();
  SequencePtr sequence = this->FindStream(request.Path());
  if (sequence == nullptr || sequence->failed) {
    co_await exchange.Send(EngineError(404, "no such stream"));
    co_return;
  }
  const std::string text = request.QueryValue("offset");
  std::int64_t offset = 0;
  std::from_chars(text.data(), text.data() + text.size(), offset);
  co_await this->SendStream(exchange, std::move(sequence), offset);
}

http::Response EngineStandin::HandleCancel(const http::Request& request) {
  const SequencePtr sequence = this->FindStream(request.Path());
  if (sequence == nullptr) return EngineError(404, "no such stream");
  sequence->failed = true;
  sequence->progress.cancel();
  this->waiting.remove(sequence);
  this->running.remove(sequence);
  return http::JsonResponse(200, "{}");
}

http::Task<void> EngineStandin::RunBatch() {
  http::Timer timer(*this->io);
  timer.expires_after(this->options.step);
  while (true) {
    co_await timer.async_wait(http::kAwait);
    // Relative to the last expiry, so that a late step doesn't delay the next.
    timer.expires_at(std::max(timer.expiry() + this->options.step,
                              http::Timer::clock_type::now()));
    if (!this->fault_injector.Active().frozen) this->Step();
  }
}

// Runs one step of the batch: each running sequence produces a token.
void EngineStandin::Step() {
  this->StartWaiting();
  for (auto next = this->running.begin(); next != this->running.end();) {
    Sequence& sequence = **next;
    ++next;
    if (sequence.prefill_steps > 0) {
      --sequence.prefill_steps;
      continue;
    }
    if (sequence.prompt.find(kCrashMarker) != std::string::npos) {
      this->Crash();
      return;
    }
    ++sequence.produced;
    sequence.progress.cancel();
    if (sequence.produced >= sequence.max_tokens) this->Finish(sequence);
  }
  if (this->HeldTokens() > this->options.capacity_tokens) this->Crash();
  const TimePoint now = Now();
  this->samples.push_back(
      LoadSample{now, this->HeldTokens(),
                 static_cast<std::int64_t>(this->waiting.size())});
  const coordination::Duration fault_lag = this->fault_injector.Active().lag;
  const coordination::Duration lag =
      fault_lag.count() > 0 ? fault_lag : this->options.report_lag;
  while (this->samples.size() > 1 && this->samples[1].at + lag <= now) {
    this->samples.pop_front();
  }
}

void EngineStandin::StartWaiting() {
  while (!this->waiting.empty() &&
         static_cast<std::int64_t>(this->running.size()) <
             this->options.batch) {
    const auto first =
        std::min_element(this->waiting.begin(), this->waiting.end(),
                         [](const SequencePtr& a, const SequencePtr& b) {
                           return a->priority < b->priority;
                         });
    this->running.splice(this->running.end(), this->waiting, first);
  }
}

void EngineStandin::Finish(Sequence& sequence) {
  sequence.done = true;
  this->running.remove_if(
      [&](const SequencePtr& running) { return running.get() == &sequence; });
}

// Fails all requests. The engine is down until its restart time has passed.
void EngineStandin::Crash() {
  ++this->crashes;
  for (const auto* list : {&this->running, &this->waiting}) {
    for (const SequencePtr& sequence : *list) {
      sequence->failed = true;
      sequence->progress.cancel();
    }
  }
  this->running.clear();
  this->waiting.clear();
  this->streams.clear();
  this->stream_order.clear();
  this->prefixes.clear();
  this->down_until = Now() + this->options.restart;
}

std::int64_t EngineStandin::HeldTokens() const {
  std::int64_t held_tokens = 0;
  for (const SequencePtr& sequence : this->running) {
    held_tokens += sequence->prompt_tokens + sequence->produced;
  }
  return held_tokens;
}

// Adds the prompt's prefix to the LRU cache. A cached prefix shortens the
// prefill.
void EngineStandin::CachePrefix(Sequence& sequence) {
  std::string prefix = sequence.prompt.substr(0, kPrefixBytes);
  const auto found =
      std::find(this->prefixes.begin(), this->prefixes.end(), prefix);
  std::int64_t uncached_tokens = sequence.prompt_tokens;
  if (found != this->prefixes.end()) {
    uncached_tokens -=
        static_cast<std::int64_t>(prefix.size()) / kBytesPerToken;
    this->prefixes.erase(found);
  }
  sequence.prefill_steps = std::max<std::int64_t>(0, uncached_tokens) *
                           this->options.prefill_per_token / this->options.step;
  this->prefixes.push_back(prefix);
  if (this->prefixes.size() > kMaxPrefixes) this->prefixes.pop_front();
  ++this->cache_sequence;
  const std::int64_t fault_interval = this->fault_injector.Active().gap_every;
  const std::int64_t interval =
      fault_interval > 0 ? fault_interval : kDroppedEventInterval;
  if (this->cache_sequence % interval == 0) return;
  this->cache_events.emplace_back(
      this->cache_sequence, std::to_string(coordination::StableHash(prefix)));
}

http::Response EngineStandin::LoadReport() {
  LoadSample sample;
  if (!this->samples.empty()) sample = this->samples.front();
  return http::JsonResponse(
      200,
      json::serialize(json::object{{"kv_used", sample.held_tokens},
                                   {"kv_total", this->options.capacity_tokens},
                                   {"waiting", sample.waiting},
                                   {"falls", this->crashes},
                                   {"version", this->options.version}}));
}

http::Response EngineStandin::CacheEvents(const http::Request& request) {
  const std::string text = request.QueryValue("after");
  std::int64_t after = 0;
  std::from_chars(text.data(), text.data() + text.size(), after);
  json::array events;
  for (const auto& [sequence, prefix] : this->cache_events) {
    if (sequence <= after) continue;
    events.push_back(json::object{{"sequence", sequence}, {"stored", prefix}});
  }
  return http::JsonResponse(
      200, json::serialize(json::object{{"events", std::move(events)}}));
}

// The body is
// {"order": "load" | "role" | "version", "value": "...", "fencing": 7}
http::Response EngineStandin::HandleOrder(const http::Request& request) {
  json::error_code error;
  const json::value document = json::parse(request.body, error);
  if (error || !document.is_object()) return EngineError(400, "not an object");
  const json::object& body = document.get_object();
  const std::int64_t fencing = NumberOr(body, "fencing", 0);
  if (this->options.check_fencing && fencing < this->fencing_number) {
    return EngineError(409, "old fencing number");
  }
  this->fencing_number = std::max(this->fencing_number, fencing);
  const json::value* order = body.if_contains("order");
  const json::value* value = body.if_contains("value");
  if (order == nullptr || value == nullptr || !value->is_string()) {
    return EngineError(400, "needs order and value");
  }
  if (*order == "version") {
    this->options.version = std::string(value->get_string());
  } else if (*order == "role") {
    this->role = std::string(value->get_string());
  }
  return http::JsonResponse(200, "{}");
}

}  // namespace hornbeamspool::standin
