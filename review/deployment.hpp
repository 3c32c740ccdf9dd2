// What cases 1 and 5 share: a small deployment under load, and the count of
// requests that gateways lose. Callers send orders and lookups on kept
// connections; the platform starts gateways again that end.
#pragma once

#include "common.hpp"

namespace review {

constexpr double kRunSeconds = 35;
constexpr double kContactSeconds = 3;  // contact_ms
constexpr int kCallersPerGateway = 8;
constexpr int kGateways = 3;
constexpr int kServers = 6;
// A request takes kMinWorkMs and up to kWorkSpreadMs more.
constexpr int kMinWorkMs = 60;
constexpr int kWorkSpreadMs = 120;
// The rule LOST allows this many.
constexpr int kAllowedLost = 3;

// Answers a request instead of its server, if the server is faulty. Returns
// whether it did; the connection is closed then.
using Fault = std::function<bool(Connection&, const std::string& server,
                                 const Request&)>;

class Deployment {
 public:
  // `fault` is the last server's; null: it is sound.
  Deployment(const Arguments& arguments, Fault fault)
      : fault(std::move(fault)), store(FreePort()) {
    for (int number = 1; number <= kServers; ++number) {
      this->servers.push_back(std::make_unique<TcpServer>(
          FreePort(), [this, number](Connection& c) { this->Serve(c, number); }));
      this->store.Put("servers", "i-" + std::to_string(number),
                      ServerRow("desk", this->servers.back()->port,
                                "z" + std::to_string((number + 1) / 2), 6));
    }
    const std::string common =
        R"("host":"desk.example","timeout_ms":4000,"target_latency_ms":300,)"
        R"("priority":2,"public":false,"service":"desk")";
    this->store.Put("op", "config",
                    R"({"version":2,"routes":[
    {"name":"lookup","prefix":"/lookup/","kind":"idempotent","attempts":2,)" +
                        common + R"(},
    {"name":"order","prefix":"/order/","kind":"non_idempotent","attempts":1,)" +
                        common + R"(}],
    "services":[{"name":"desk","health_path":"/healthz","max_connections":110,
                 "protocol":"h1","tls":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
              "header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"tenant-1","api_keys":["key-1"]}]})");
    for (int number = 1; number <= kGateways; ++number) {
      this->gateways.push_back(std::make_unique<Gateway>(
          number, this->store.Port(), arguments.program, arguments.folder));
      this->gateways.back()->Run();
      this->began.push_back(std::make_unique<std::atomic<double>>(Seconds()));
    }
    for (const auto& gateway : this->gateways) {
      if (gateway->WaitUntilReady(15)) continue;
      Finish(this->gateways, kCannotRun, "a gateway does not become ready");
    }
  }

  // Runs the load, with `trouble` in a thread beside it, and ends this process
  // with the verdict. `counted` names what `troubles` counts.
  [[noreturn]] void Run(const std::function<void(double until)>& trouble,
                        const std::string& counted,
                        const std::atomic<int>& troubles) {
    const double until = Seconds() + kRunSeconds;
    std::vector<std::thread> threads;
    for (int i = 0; i < kGateways; ++i) {
      for (int j = 0; j < kCallersPerGateway; ++j) {
        threads.emplace_back([this, i, j, until] { this->Call(i, j, until); });
      }
    }
    if (trouble) threads.emplace_back([&] { trouble(until); });
    // The platform starts a process that ends again after a short delay.
    int ends = 0;
    while (Seconds() < until) {
      for (int i = 0; i < kGateways; ++i) {
        Gateway& gateway = *this->gateways[static_cast<std::size_t>(i)];
        std::string how;
        if (!gateway.Ended(how)) continue;
        ++ends;
        Record::Line("gateway " + std::to_string(gateway.number) +
                     " ended by itself: " + how);
        Sleep(0.3);
        gateway.Run();
        *this->began[static_cast<std::size_t>(i)] = Seconds();
      }
      Sleep(0.01);
    }
    for (std::thread& thread : threads) thread.join();
    const std::string counts =
        "sent " + std::to_string(this->sent) + ", answered " +
        std::to_string(this->answered) + ", " + counted + ' ' +
        std::to_string(troubles) + ", gateways that ended by themselves " +
        std::to_string(ends) + ", lost " + std::to_string(this->lost) +
        " (orders " + std::to_string(this->lost_orders) + "), allowed " +
        std::to_string(kAllowedLost);
    if (this->answered < 500) {
      Finish(this->gateways, kCannotRun, "too few: " + counts);
    }
    const bool broken = this->lost > kAllowedLost;
    Finish(this->gateways, broken ? kBroken : kHeld,
           (broken ? "LOST broken: " : "LOST held: ") + counts);
  }

  const Gateway& GatewayAt(int i) const {
    return *this->gateways[static_cast<std::size_t>(i)];
  }

 private:
  void Serve(Connection& connection, int number) {
    const std::string id = "i-" + std::to_string(number);
    const bool faulty = number == kServers && this->fault;
    Request request;
    while (ReadRequest(connection, request)) {
      const std::string attempt = request.Header("attempt-id");
      if (request.Header("expect-instance") != id) {
        connection.Write(PlainAnswer(
            421, {{"Attempt-Id", attempt}, {"Instance-Id", id}}, ""));
        continue;
      }
      if (!faulty) {
        std::lock_guard lock(this->mutex);
        this->reached[attempt] = id;
      }
      const auto spread =
          static_cast<int>(std::hash<std::string>{}(attempt) % kWorkSpreadMs);
      std::this_thread::sleep_for(milliseconds(kMinWorkMs + spread));
      if (faulty && this->fault(connection, id, request)) return;
      const std::vector<std::pair<std::string, std::string>> headers{
          {"Attempt-Id", attempt},
          {"Server-Stamp", "stamp-" + id},
          {"Instance-Load", "1,0,6"}};
      if (!connection.Write(
              PlainAnswer(200, headers, "answer to " + attempt))) {
        return;
      }
    }
  }

  // One caller: by turns a lookup and an order.
  void Call(int i, int first, double until) {
    const Gateway& gateway = this->GatewayAt(i);
    Client client(gateway.caller_port);
    for (int n = first; Seconds() < until; ++n) {
      if (!client.Ready()) {
        Sleep(0.05);
        continue;
      }
      const bool order = n % 2 == 0;
      const bool kept = client.Kept();
      const std::string attempt = NewId();
      const std::string body = order ? "order " + attempt : "";
      const std::string request =
          std::string(order ? "POST /order/" : "GET /lookup/") + attempt +
          " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + attempt +
          "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n"
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      const double gateway_began = *this->began[static_cast<std::size_t>(i)];
      ++this->sent;
      const Answer answer = client.Call(request, 5);
      if (answer.whole) {
        ++this->answered;
        Sleep(0.03);
        continue;
      }
      std::string server;
      {
        std::lock_guard lock(this->mutex);
        const auto found = this->reached.find(attempt);
        if (found != this->reached.end()) server = found->second;
      }
      const bool in_touch = Seconds() - gateway_began >= kContactSeconds;
      const bool counts =
          kept && in_touch && !server.empty() && !answer.timed_out;
      Record::Line(attempt + (order ? " (order)" : " (lookup)") +
                   " at gateway " + std::to_string(gateway.number) +
                   ": connection closed without an answer, " +
                   (server.empty() ? "no sound server had it"
                                   : server + " had it") +
                   (counts ? ", LOST" : ""));
      if (!counts) continue;
      ++this->lost;
      if (order) ++this->lost_orders;
    }
  }

  Fault fault;
  Store store;
  std::vector<std::unique_ptr<TcpServer>> servers;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::unique_ptr<std::atomic<double>>> began;
  std::mutex mutex;
  std::map<std::string, std::string> reached;  // Attempt-Id -> sound server
  std::atomic<int> sent{0};
  std::atomic<int> answered{0};
  std::atomic<int> lost{0};         // as the rule counts
  std::atomic<int> lost_orders{0};  // of them
};

}  // namespace review
