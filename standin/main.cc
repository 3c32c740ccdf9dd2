// Runs a stand-in, or the load generator, as a process of its own:
//   standin engine --listen=IP:PORT --name=NAME --version=v1 ...
//   standin service --listen=IP:PORT --name=NAME
//   standin store --listen=IP:PORT
//   standin server --listen=IP:PORT --name=ID
//   standin load --target=IP:PORT --bearer=KEY ...
//   standin duplicates --listen=IP:PORT --name=ID --seed=N --rejected=0.3 ...
//   standin orders --targets=IP:PORT,... --host=HOST --paths=PATH,... ...
//   standin proxy --listen=IP:PORT --target=IP:PORT --seed=N --mutated=0.1 ...
//   standin bytes --targets=IP:PORT,... --corpus=FILE --seed=N ...
//   standin datagrams --targets=IP:PORT,... --key=KEY --seed=N ...
//   standin crowd --target=IP:PORT --kind=KIND --connections=N ...
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "standin/byte_sender.h"
#include "standin/client_crowd.h"
#include "standin/duplicating_server.h"
#include "standin/engine_standin.h"
#include "standin/load_generator.h"
#include "standin/mutating_proxy.h"
#include "standin/order_load.h"
#include "standin/server_standin.h"
#include "standin/service_standin.h"
#include "standin/store_standin.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, name, "engine", "name of the stand-in");
ABSL_FLAG(std::string, engine_version, "v1", "version that the engine runs");
ABSL_FLAG(std::int64_t, capacity_tokens, 40'000,
          "capacity of the engine's KV cache in tokens");
ABSL_FLAG(std::int64_t, batch, 64,
          "maximum number of sequences that the engine runs");
ABSL_FLAG(std::int64_t, step_us, 5'000, "time of one step of the engine");
ABSL_FLAG(std::int64_t, report_lag_ms, 500, "age of the engine's load reports");
ABSL_FLAG(bool, check_fencing, false,
          "reject orders with an outdated fencing token");
ABSL_FLAG(std::string, target, "127.0.0.1:8080", "address to send the load to");
ABSL_FLAG(std::string, bearer, "", "API key of the callers");
ABSL_FLAG(std::string, model, "planner", "model of the requests");
ABSL_FLAG(std::string, plain_path, "", "send plain POSTs to this path");
ABSL_FLAG(std::string, key_prefix, "", "prefix of Idempotency-Key");
ABSL_FLAG(std::int64_t, concurrency, 8, "number of concurrent callers");
ABSL_FLAG(std::int64_t, requests, 100, "total number of requests");
ABSL_FLAG(std::int64_t, max_tokens, 32, "tokens of each answer");
ABSL_FLAG(std::int64_t, prompt_bytes, 200, "bytes of each prompt");
ABSL_FLAG(bool, stream, true, "request streams");
ABSL_FLAG(std::int64_t, read_delay_ms, 0,
          "pause after each read, as of a slow reader");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the stand-in's random choices");
ABSL_FLAG(double, rejected, 0.3, "fraction of requests rejected");
ABSL_FLAG(double, failed, 0.0, "fraction of requests executed and failed");
ABSL_FLAG(double, unnamed, 0.5, "fraction of rejections without an id");
ABSL_FLAG(double, duplicated, 0.3, "fraction of answers sent twice");
ABSL_FLAG(std::int64_t, work_ms, 5, "time to execute a request");
ABSL_FLAG(std::vector<std::string>, targets, {}, "gateways that get orders");
ABSL_FLAG(std::vector<std::string>, paths, {"/order/x"}, "paths of requests");
ABSL_FLAG(double, spliced, 0.0, "fraction of late copies that are cut off");
ABSL_FLAG(double, cut, 0.0, "fraction of requests whose answers break off");
ABSL_FLAG(double, split, 0.0, "fraction of answers sent byte by byte");
ABSL_FLAG(double, mutated, 0.1, "fraction of messages that are malformed");
ABSL_FLAG(std::string, corpus, "", "file of messages, one a line, escaped");
ABSL_FLAG(std::string, key, "", "key that authenticates datagrams");
ABSL_FLAG(std::string, host, "a.example", "host of the orders");
ABSL_FLAG(std::int64_t, rate, 0, "orders per second; 0: no limit");
ABSL_FLAG(std::int64_t, timeout_ms, 1000, "how long a caller waits");
ABSL_FLAG(std::string, kind, "chunked", "how the clients of a crowd misbehave");
ABSL_FLAG(std::string, path, "/", "path of a crowd's requests");
ABSL_FLAG(std::int64_t, connections, 48, "connections of a crowd");
ABSL_FLAG(std::int64_t, body_bytes, 4'000'000, "bytes of a crowd's bodies");
ABSL_FLAG(std::int64_t, chunk_bytes, 65'536, "bytes of a crowd's chunks");
ABSL_FLAG(std::int64_t, hold_ms, 1000,
          "how long a crowd stays after it has sent its messages");

namespace {

namespace json = boost::json;
namespace net = boost::asio;
using namespace hornbeamspool::standin;  // NOLINT(google-build-using-namespace)

int Serve(net::io_context& io, std::uint16_t port) {
  if (port == 0) {
    std::cerr << "cannot listen on " << absl::GetFlag(FLAGS_listen) << '\n';
    return 1;
  }
  net::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { io.stop(); });
  io.run();
  return 0;
}

int RunToEnd(net::io_context& io, hornbeamspool::http::Task<void> task) {
  net::co_spawn(io, std::move(task),
                [&](const std::exception_ptr&) { io.stop(); });
  io.run();
  return 0;
}

int RunEngine() {
  net::io_context io{1};
  EngineOptions options;
  options.name = absl::GetFlag(FLAGS_name);
  options.version = absl::GetFlag(FLAGS_engine_version);
  options.capacity_tokens = absl::GetFlag(FLAGS_capacity_tokens);
  options.batch = absl::GetFlag(FLAGS_batch);
  options.step = std::chrono::microseconds(absl::GetFlag(FLAGS_step_us));
  options.report_lag =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
  options.check_fencing = absl::GetFlag(FLAGS_check_fencing);
  EngineStandin engine(io, options);
  return Serve(io, engine.Listen(absl::GetFlag(FLAGS_listen)));
}

int RunService() {
  net::io_context io{1};
  ServiceStandin service(io, absl::GetFlag(FLAGS_name));
  return Serve(io, service.Listen(absl::GetFlag(FLAGS_listen)));
}

int RunStore() {
  net::io_context io{1};
  StoreStandin store(io);
  return Serve(io, store.Listen(absl::GetFlag(FLAGS_listen)));
}

int RunServer() {
  net::io_context io{1};
  ServerStandin server(io, absl::GetFlag(FLAGS_name));
  return Serve(io, server.Listen(absl::GetFlag(FLAGS_listen)));
}

int RunDuplicatingServer() {
  net::io_context io{1};
  DuplicatingServerOptions options;
  options.id = absl::GetFlag(FLAGS_name);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.rejected = absl::GetFlag(FLAGS_rejected);
  options.failed = absl::GetFlag(FLAGS_failed);
  options.unnamed = absl::GetFlag(FLAGS_unnamed);
  options.duplicated = absl::GetFlag(FLAGS_duplicated);
  options.spliced = absl::GetFlag(FLAGS_spliced);
  options.cut = absl::GetFlag(FLAGS_cut);
  options.split = absl::GetFlag(FLAGS_split);
  options.work = std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms));
  DuplicatingServer server(io, options, std::cout);
  return Serve(io, server.Listen(absl::GetFlag(FLAGS_listen)));
}

int RunOrders() {
  net::io_context io{1};
  OrderLoadOptions options;
  options.targets = absl::GetFlag(FLAGS_targets);
  options.host = absl::GetFlag(FLAGS_host);
  options.bearer = absl::GetFlag(FLAGS_bearer);
  options.paths = absl::GetFlag(FLAGS_paths);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.id_prefix = absl::GetFlag(FLAGS_key_prefix);
  options.concurrency = absl::GetFlag(FLAGS_concurrency);
  options.requests = absl::GetFlag(FLAGS_requests);
  options.requests_per_second = absl::GetFlag(FLAGS_rate);
  options.caller_timeout =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  if (options.targets.empty() || options.paths.empty()) {
    std::cerr << "--targets and --paths must name a gateway and a path\n";
    return 2;
  }
  OrderLoad load(io, options);
  return RunToEnd(io, load.Run(std::cout));
}

int RunProxy() {
  net::io_context io{1};
  MutatingProxy proxy(
      io, {absl::GetFlag(FLAGS_target), absl::GetFlag(FLAGS_seed),
           absl::GetFlag(FLAGS_mutated), absl::GetFlag(FLAGS_split)});
  return Serve(io, proxy.Listen(absl::GetFlag(FLAGS_listen)));
}

ByteSenderOptions SenderOptions() {
  ByteSenderOptions options;
  options.targets = absl::GetFlag(FLAGS_targets);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.messages = absl::GetFlag(FLAGS_requests);
  options.concurrency = absl::GetFlag(FLAGS_concurrency);
  options.mutated = absl::GetFlag(FLAGS_mutated);
  options.split = absl::GetFlag(FLAGS_split);
  return options;
}

int RunBytes() {
  net::io_context io{1};
  ByteSenderOptions options = SenderOptions();
  std::ifstream corpus(absl::GetFlag(FLAGS_corpus));
  options.corpus = ReadCorpus(corpus);
  if (options.targets.empty() || options.corpus.empty()) {
    std::cerr << "--targets and --corpus must name a process and messages\n";
    return 2;
  }
  ByteSender sender(io, std::move(options));
  return RunToEnd(io, sender.Run(std::cout));
}

int RunDatagrams() {
  SendDatagrams(SenderOptions(), absl::GetFlag(FLAGS_key));
  return 0;
}

int RunCrowd() {
  net::io_context io{1};
  CrowdRequest request;
  request.path = absl::GetFlag(FLAGS_path);
  request.bearer = absl::GetFlag(FLAGS_bearer);
  request.body_bytes = absl::GetFlag(FLAGS_body_bytes);
  request.chunk_bytes = absl::GetFlag(FLAGS_chunk_bytes);
  auto message = MakeCrowdMessage(absl::GetFlag(FLAGS_kind), request);
  if (!message) {
    std::cerr << "--kind names no kind of misbehaviour\n";
    return 2;
  }
  CrowdOptions options;
  options.target = absl::GetFlag(FLAGS_target);
  options.connections = absl::GetFlag(FLAGS_connections);
  options.message = std::move(*message);
  options.hold = std::chrono::milliseconds(absl::GetFlag(FLAGS_hold_ms));
  ClientCrowd crowd(io, std::move(options));
  return RunToEnd(io, crowd.Run(std::cout));
}

json::object Percentiles(const std::vector<double>& values) {
  return {{"p50", Percentile(values, 0.50)},
          {"p95", Percentile(values, 0.95)},
          {"p99", Percentile(values, 0.99)}};
}

int RunLoad() {
  net::io_context io{1};
  LoadOptions options;
  options.target = absl::GetFlag(FLAGS_target);
  options.bearer = absl::GetFlag(FLAGS_bearer);
  options.model = absl::GetFlag(FLAGS_model);
  options.plain_path = absl::GetFlag(FLAGS_plain_path);
  options.key_prefix = absl::GetFlag(FLAGS_key_prefix);
  options.concurrency = absl::GetFlag(FLAGS_concurrency);
  options.requests = absl::GetFlag(FLAGS_requests);
  options.max_tokens = absl::GetFlag(FLAGS_max_tokens);
  options.prompt_bytes = absl::GetFlag(FLAGS_prompt_bytes);
  options.stream = absl::GetFlag(FLAGS_stream);
  options.read_delay =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_read_delay_ms));
  LoadGenerator generator(io, options);
  LoadResult result;
  net::co_spawn(io, generator.Run(),
                [&](const std::exception_ptr&, LoadResult done) {
                  result = std::move(done);
                  io.stop();
                });
  io.run();
  const double seconds = result.seconds;
  const json::object report{
      {"whole", result.completed},
      {"refused", result.refused},
      {"broken", result.broken},
      {"seconds", seconds},
      {"requests_per_second", static_cast<double>(result.completed) / seconds},
      {"tokens_per_second", static_cast<double>(result.tokens) / seconds},
      {"first_token_ms", Percentiles(result.first_token_ms)},
      {"token_gap_ms", Percentiles(result.token_gap_ms)},
      {"whole_ms", Percentiles(result.completion_ms)}};
  std::cout << json::serialize(report) << '\n';
  return result.broken == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  const std::string_view command = arguments.size() > 1 ? arguments[1] : "";
  if (command == "engine") return RunEngine();
  if (command == "service") return RunService();
  if (command == "store") return RunStore();
  if (command == "server") return RunServer();
  if (command == "load") return RunLoad();
  if (command == "duplicates") return RunDuplicatingServer();
  if (command == "orders") return RunOrders();
  if (command == "proxy") return RunProxy();
  if (command == "bytes") return RunBytes();
  if (command == "datagrams") return RunDatagrams();
  if (command == "crowd") return RunCrowd();
  std::cerr << "usage: standin engine|service|store|server|load|duplicates|"
               "orders|proxy|bytes|datagrams|crowd [flags]\n";
  return 2;
}
