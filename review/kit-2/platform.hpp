// Stand-ins of the platform for the cases: its store, its servers, its operator
// and the start of the project's processes. They follow PROTOCOL.md.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <boost/json.hpp>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <tuple>

#include "net.hpp"

namespace review {

namespace json = boost::json;

// The record of a case: one line an event, with milliseconds since its start.
class Record {
 public:
  explicit Record(const std::string& path) : file(path), start(NowMs()) {}
  void Line(const std::string& text) {
    const std::scoped_lock lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%7lld ms  ",
                  static_cast<long long>(NowMs() - this->start));
    this->file << time << text << std::endl;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  std::int64_t start;
};

inline std::string Base64(const std::string& text) {
  static const char* const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= text.size() ? digits[bits >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return out;
}

inline std::string Unbase64(const std::string& text) {
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const char c : text) {
    int value = -1;
    if (c >= 'A' && c <= 'Z') value = c - 'A';
    if (c >= 'a' && c <= 'z') value = c - 'a' + 26;
    if (c >= '0' && c <= '9') value = c - '0' + 52;
    if (c == '+') value = 62;
    if (c == '/') value = 63;
    if (value < 0) continue;
    bits = bits << 6 | static_cast<unsigned>(value);
    if (++count % 4 != 1) out += static_cast<char>(bits >> (count % 4 == 2 ? 4 : count % 4 == 3 ? 2 : 0) & 255U);
  }
  return out;
}

// The metadata store, form "table".
class Store {
 public:
  explicit Store(Record& record)
      : record(&record),
        server([this](Channel& channel, const Request& request) {
          return this->Handle(channel, request);
        }) {}
  ~Store() { this->closing = true; }
  int Port() const { return this->server.Port(); }

  // A further address of the store, at which it can turn one machine away: calls
  // get 503 and nothing is done, while the others are served.
  class Door {
   public:
    explicit Door(Store& store)
        : server([this, &store](Channel& channel, const Request& request) {
            return store.Handle(channel, request, &this->closed);
          }) {}
    int Port() const { return this->server.Port(); }
    void SetClosed(bool closed) { this->closed = closed; }

   private:
    std::atomic<bool> closed{false};
    HttpServer server;
  };

  // A write of the operator or a server; false while the store is away.
  bool Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::scoped_lock lock(this->mutex);
    if (this->away) return false;
    this->rows[{table, "", key}] = {value, ++this->version, false};
    this->changed.notify_all();
    return true;
  }
  bool Remove(const std::string& table, const std::string& key) {
    const std::scoped_lock lock(this->mutex);
    if (this->away) return false;
    const auto found = this->rows.find({table, "", key});
    if (found == this->rows.end()) return true;
    found->second = {"", ++this->version, true};
    this->changed.notify_all();
    return true;
  }
  std::string Get(const std::string& table, const std::string& key) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->rows.find({table, "", key});
    return found == this->rows.end() ? "" : found->second.value;
  }
  std::uint64_t VersionOf(const std::string& table, const std::string& key) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->rows.find({table, "", key});
    return found == this->rows.end() ? 0 : found->second.version;
  }
  void Copy() {
    const std::scoped_lock lock(this->mutex);
    this->copied_rows = this->rows;
    this->copied_version = this->version;
    this->record->Line("the store is copied at version " + std::to_string(this->version));
  }
  // Away: calls get 503, nothing is done.
  void SetAway(bool away) {
    const std::scoped_lock lock(this->mutex);
    this->away = away;
    this->changed.notify_all();
  }
  void Restore() {
    const std::scoped_lock lock(this->mutex);
    const std::uint64_t before = this->version;
    this->rows = this->copied_rows;
    this->version = this->copied_version;
    ++this->era;
    this->changed.notify_all();
    this->record->Line("the store comes back from the copy: version " + std::to_string(before) +
                       " -> " + std::to_string(this->version) + ", era " +
                       std::to_string(this->era));
  }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;  // table, part, key
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };

  static json::object ToJson(const Key& key, const Row& row) {
    json::object object{{"table", std::get<0>(key)}, {"part", std::get<1>(key)},
                        {"key", std::get<2>(key)}, {"value", Base64(row.value)},
                        {"ver", row.version}};
    if (row.removed) object["removed"] = true;
    return object;
  }
  std::string Rows(json::array rows) const {
    return json::serialize(json::object{{"rows", std::move(rows)}, {"truncated", false},
                                        {"ver", this->version}, {"now_ms", NowMs()}});
  }
  static Key KeyOf(const json::object& object) {
    const auto text = [&object](const char* name) {
      const auto* value = object.if_contains(name);
      return value == nullptr ? std::string() : std::string(value->as_string());
    };
    return {text("table"), text("part"), text("key")};
  }

  bool Handle(Channel& channel, const Request& request, const std::atomic<bool>* closed = nullptr) {
    Response response;
    {
      std::unique_lock lock(this->mutex);
      if (closed != nullptr && *closed) {
        response.status = 503;
      } else {
        response = this->Answer(request, lock);
      }
      response.headers.emplace_back("Store-Era", std::to_string(this->era));
    }
    response.headers.emplace_back("Content-Type", "application/json");
    return channel.Write(Text(response), NowMs() + 5000);
  }

  Response Answer(const Request& request, std::unique_lock<std::mutex>& lock) {
    Response response;
    response.status = 200;
    response.body = "{}";
    if (this->away) {
      response.status = 503;
      return response;
    }
    const std::string path = request.Path();
    if (path == "/api/rows-get") {
      json::array found;
      const std::string table = request.Query("table"), part = request.Query("part");
      const std::string from = request.Query("from"), to = request.Query("to");
      for (const auto& [key, row] : this->rows) {
        if (std::get<0>(key) != table || std::get<1>(key) != part || row.removed) continue;
        if (std::get<2>(key) < from || (!to.empty() && std::get<2>(key) >= to)) continue;
        found.push_back(ToJson(key, row));
      }
      response.body = this->Rows(std::move(found));
      return response;
    }
    if (path == "/api/rows-feed") {
      const std::string table = request.Query("table");
      const std::uint64_t after = std::strtoull(request.Query("after").c_str(), nullptr, 10);
      const std::int64_t end = NowMs() + std::min(30'000L, std::atol(request.Query("wait_ms").c_str()));
      while (true) {
        if (this->away) {
          response.status = 503;
          return response;
        }
        if (after > this->version) {
          response.status = 410;
          return response;
        }
        std::multimap<std::uint64_t, json::object> found;
        for (const auto& [key, row] : this->rows) {
          if (std::get<0>(key) == table && row.version > after) {
            found.emplace(row.version, ToJson(key, row));
          }
        }
        if (!found.empty() || NowMs() >= end || this->closing) {
          json::array rows;
          for (auto& [version, row] : found) rows.push_back(std::move(row));
          response.body = this->Rows(std::move(rows));
          return response;
        }
        this->changed.wait_for(lock, std::chrono::milliseconds(
                                         std::max<std::int64_t>(1, std::min<std::int64_t>(100, end - NowMs()))));
      }
    }
    if (path == "/api/rows-tx") return this->Transact(request);
    response.status = 404;
    return response;
  }

  Response Transact(const Request& request) {
    Response response;
    response.status = 200;
    const json::value parsed = json::parse(request.body);
    const json::object& call = parsed.as_object();
    const auto list = [&call](const char* name) {
      const auto* value = call.if_contains(name);
      return value == nullptr ? json::array() : value->as_array();
    };
    bool holds = true;
    json::array current;
    for (const json::value& each : list("precondition")) {
      const Key key = KeyOf(each.as_object());
      const auto found = this->rows.find(key);
      const bool absent = found == this->rows.end() || found->second.removed;
      if (!absent) current.push_back(ToJson(key, found->second));
      holds = holds && (absent ? 0 : found->second.version) ==
                           each.as_object().at("ver").to_number<std::uint64_t>();
    }
    for (const char* const name : {"puts", "remove"}) {
      for (const json::value& each : list(name)) {
        const std::string table = std::get<0>(KeyOf(each.as_object()));
        if (table == "op" || table == "servers") {
          response.status = 403;
          return response;
        }
      }
    }
    if (!holds) {
      response.status = 412;
      response.body = this->Rows(std::move(current));
      return response;
    }
    ++this->version;
    for (const json::value& each : list("puts")) {
      const Key key = KeyOf(each.as_object());
      Row row{Unbase64(std::string(each.as_object().at("value").as_string())), this->version, false};
      if (std::get<0>(key) == "status") {
        this->record->Line("the system writes status/" + std::get<2>(key) + ' ' + row.value);
      }
      this->rows[key] = std::move(row);
    }
    for (const json::value& each : list("remove")) {
      this->rows[KeyOf(each.as_object())] = {"", this->version, true};
    }
    this->changed.notify_all();
    response.body = this->Rows({});
    return response;
  }

  Record* record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<Key, Row> rows, copied_rows;
  std::uint64_t version = 100, copied_version = 0, era = 1;
  bool away = false;
  std::atomic<bool> closing{false};
  HttpServer server;
};

// A server of a service: plain answers, and streams on paths with "/stream/".
class Upstream {
 public:
  struct Run {
    std::string id;
    std::int64_t at_ms;
    Headers headers;
  };
  Upstream(Store& store, std::string id, std::string service, std::string version,
           std::int64_t work_ms = 5)
      : store(&store),
        id(std::move(id)),
        service(std::move(service)),
        version(std::move(version)),
        work_ms(work_ms),
        born(UnixMs()),
        server([this](Channel& channel, const Request& request) {
          return this->Handle(channel, request);
        }),
        heart([this] {
          while (!this->stopped) {
            if (!this->silent) this->Beat();
            for (int i = 0; i < 24 && !this->stopped; ++i) SleepMs(50);
          }
        }) {}
  ~Upstream() {
    this->Stop();
    this->heart.join();
  }
  void Beat() {
    json::object row{{"service", this->service},
                     {"address", "127.0.0.1:" + std::to_string(this->server.Port())},
                     {"zone", "a"}, {"version", this->version}, {"slot_count", 64},
                     {"state", this->draining ? "draining" : "ready"}, {"cold_left_ms", 0},
                     {"seq", ++this->seq}, {"born", this->born}};
    this->store->Put("servers", this->id, json::serialize(row));
  }
  void Drain() {
    this->draining = true;
    this->Beat();
  }
  // The process ends; its entry goes.
  void Stop() {
    if (this->stopped.exchange(true)) return;
    this->server.Stop();
    this->store->Remove("servers", this->id);
  }
  const std::string& Id() const { return this->id; }
  std::vector<Run> Runs() {
    const std::scoped_lock lock(this->mutex);
    return this->runs;
  }
  std::size_t RunCount() {
    const std::scoped_lock lock(this->mutex);
    return this->runs.size();
  }

 private:
  bool Handle(Channel& channel, const Request& request) {
    Response response;
    const std::string attempt = Find(request.headers, "Attempt-Id");
    if (!attempt.empty()) response.headers.emplace_back("Attempt-Id", attempt);
    const std::string expected = Find(request.headers, "Expect-Instance");
    if (!expected.empty() && expected != this->id) {
      response.status = 421;
      response.headers.emplace_back("Not-Executed", "1");
      return channel.Write(Text(response), NowMs() + 5000);
    }
    if (request.Path() == "/healthz") {
      response.status = this->draining ? 503 : 200;
      response.headers.emplace_back("Instance-Id", this->id);
      return channel.Write(Text(response), NowMs() + 5000);
    }
    {
      const std::scoped_lock lock(this->mutex);
      this->runs.push_back({attempt, NowMs(), request.headers});
    }
    response.status = 200;
    response.headers.emplace_back("Server-Stamp", "stamp-" + this->id + '-' + attempt);
    response.headers.emplace_back("Instance-Load", "1,0,64");
    if (request.Path().find("/stream/") != std::string::npos) {
      return this->Stream(channel, request, std::move(response));
    }
    SleepMs(this->work_ms);
    response.body = "answer to " + attempt;
    std::string text = Text(response);
    if (request.method == "HEAD") text.resize(text.size() - response.body.size());
    return channel.Write(text, NowMs() + 5000);
  }
  bool Stream(Channel& channel, const Request& request, Response response) {
    std::string counts = Find(request.headers, "Token-Count");
    const std::size_t comma = counts.find(',');
    const int events = comma == std::string::npos ? 3 : std::atoi(counts.c_str() + comma + 1);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : response.headers) text += name + ": " + value + "\r\n";
    if (!channel.Write(text + "\r\n", NowMs() + 5000)) return false;
    for (int i = 0; i < events; ++i) {
      SleepMs(this->work_ms);
      const std::string event = "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (this->stopped || !channel.Write(size + event + "\r\n", NowMs() + 5000)) return false;
    }
    return channel.Write("0\r\n\r\n", NowMs() + 5000);
  }

  Store* store;
  std::string id, service, version;
  std::int64_t work_ms, born;
  std::atomic<std::int64_t> seq{0};
  std::atomic<bool> stopped{false}, draining{false};

 public:
  std::atomic<bool> silent{false};  // writes no entry

 private:
  std::mutex mutex;
  std::vector<Run> runs;
  HttpServer server;
  std::thread heart;
};

inline int FreePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) std::abort();
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ::ntohs(address.sin_port);
}

// One router, started by the command of deploy/system.toml with the settings of
// deploy/settings.json.tmpl for a small deployment.
class Router {
 public:
  Router(Record& record, std::string dir, std::string name, int store_port)
      : record(&record), dir(std::move(dir)), name(std::move(name)) {
    this->front = FreePort();
    this->ready = FreePort();
    this->peers = FreePort();
    const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    std::ofstream file(this->Settings());
    file << "{ \"kind\": \"gateway\", \"vm\": \"" << this->name << "\", \"availability_zone\": \"a\",\n"
         << "  \"listen\": \"" << at(this->front) << "\",\n"
         << "  \"readiness\": { \"address\": \"" << at(this->ready) << "\", \"path\": \"/api/readyz\" },\n"
         << "  \"store\": \"" << at(store_port) << "\", \"metrics\": \"" << at(FreePort()) << "\",\n"
         << "  \"peers\": \"" << at(this->peers) << "\",\n"
         << "  \"retries\": { \"share\": 0.2, \"extra\": 56, \"window_s\": 10 },\n"
         << "  \"rollouts\": { \"share\": 0.1, \"extra\": 50 },\n"
         << "  \"stop_s\": 8, \"descriptors\": 4100, \"memory_mb\": 260, \"link_mbps\": 1000.0,\n"
         << "  \"log_level\": \"info\" }\n";
  }
  ~Router() { this->Kill(); }
  int Front() const { return this->front; }
  int Ready() const { return this->ready; }
  pid_t Pid() const { return this->pid; }
  // Its log goes to `log_fd`, or to a file if that is -1.
  void Start(int log_fd = -1) {
    const std::string program = "target/bin/hornbeamspool";
    const std::string argument = "--gateway=" + this->Settings();
    const std::string log = this->dir + '/' + this->name + ".log";
    this->pid = ::fork();
    if (this->pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case
      const int out = log_fd >= 0 ? log_fd : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::signal(SIGPIPE, SIG_DFL);
      ::execl(program.c_str(), program.c_str(), argument.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    this->record->Line("starts " + this->name);
  }
  bool IsReady() const {
    Request request;
    request.method = "GET";
    request.target = "/api/readyz";
    request.headers = {{"Host", "x"}, {"Connection", "close"}};
    return Call(this->ready, request, 500).status == 200;
  }
  bool WaitReady(std::int64_t timeout_ms) const {
    const std::int64_t end = NowMs() + timeout_ms;
    while (NowMs() < end) {
      if (this->IsReady()) return true;
      SleepMs(50);
    }
    return false;
  }
  void Signal(int signal) {
    if (this->pid > 0) ::kill(this->pid, signal);
  }
  void Kill() {
    if (this->pid <= 0) return;
    ::kill(this->pid, SIGCONT);
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    this->pid = -1;
    this->record->Line("killed " + this->name);
  }
  // SIGTERM, then SIGKILL after grace_s as the platform does.
  void Term(std::int64_t grace_ms = 8000) {
    if (this->pid <= 0) return;
    this->record->Line("SIGTERM to " + this->name);
    ::kill(this->pid, SIGTERM);
    const std::int64_t end = NowMs() + grace_ms;
    while (NowMs() < end) {
      if (::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
        this->pid = -1;
        this->record->Line(this->name + " has ended");
        return;
      }
      SleepMs(20);
    }
    this->Kill();
  }
  // Whether it has ended by itself.
  bool HasEnded() {
    if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid) this->pid = -1;
    return this->pid <= 0;
  }

 private:
  std::string Settings() const { return this->dir + '/' + this->name + ".json"; }
  Record* record;
  std::string dir, name;
  int front = 0, ready = 0, peers = 0;
  pid_t pid = -1;
};

struct Tenant {
  std::string name, key;
  std::int64_t prepaid = 0;
};

// A configuration with one service "s" and routes of all kinds.
inline std::string Config(int version, const std::vector<Tenant>& tenants, bool engine) {
  const auto route = [](const char* name, const char* prefix, const char* kind, int timeout_ms, bool resume) {
    return json::object{{"name", name}, {"host", "a.example"}, {"prefix", prefix}, {"service", "s"},
                        {"kind", kind}, {"timeout_ms", timeout_ms}, {"target_latency_ms", 300},
                        {"priority", 1}, {"attempts", 2}, {"public", false}, {"gap_aim_ms", 400},
                        {"stream_resume", resume}};
  };
  json::object service{{"name", "s"}, {"health_path", "/healthz"}, {"max_connections", 300}};
  if (engine) service["engine"] = json::object{{"slot_count", 64}, {"kv_capacity_tokens", 400000}, {"stride", 1}};
  json::array list;
  for (const Tenant& tenant : tenants) {
    json::object object{{"name", tenant.name}, {"api_keys", json::array{json::string(tenant.key)}}};
    if (tenant.prepaid > 0) object["prepaid"] = tenant.prepaid;
    list.push_back(std::move(object));
  }
  return json::serialize(json::object{
      {"version", version},
      {"routes", json::array{route("lookup", "/lookup/", "idempotent", 2000, false),
                             route("order", "/order/", "non_idempotent", 2000, false),
                             route("draft", "/stream/", "stream", 10000, true)}},
      {"services", json::array{std::move(service)}},
      {"limits", json::object{{"max_header_bytes", 16384}, {"max_body_bytes", 1048576},
                              {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
      {"tenants", std::move(list)}});
}

inline Request MakeRequest(const std::string& method, const std::string& target, const std::string& key,
                           const std::string& id, int deadline_ms) {
  Request request;
  request.method = method;
  request.target = target;
  request.headers = {{"Host", "a.example"}, {"Attempt-Id", id}, {"Deadline-Ms", std::to_string(deadline_ms)},
                     {"Authorization", "Bearer " + key}};
  return request;
}

inline bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
