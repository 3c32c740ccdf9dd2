// Parts that the cases share: a record file, child processes, an HTTP server and
// client over blocking sockets, and a stand-in for the platform's store.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline Clock::time_point Start() {
  static const Clock::time_point start = Clock::now();
  return start;
}

inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - Start()).count();
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Writes lines with the time since the start into the case's record.txt.
class Record {
 public:
  static void Open(const std::string& path) {
    std::lock_guard lock(Mutex());
    File().open(path, std::ios::trunc);
    Start();
  }
  static void Line(const std::string& text) {
    std::lock_guard lock(Mutex());
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", Seconds());
    File() << time << text << std::endl;
  }

 private:
  static std::ofstream& File() {
    static std::ofstream file;
    return file;
  }
  static std::mutex& Mutex() {
    static std::mutex mutex;
    return mutex;
  }
};

// --- sockets -----------------------------------------------------------------

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A port that is free for TCP and UDP now.
inline int FreePort() {
  static std::set<int> used;
  while (true) {
    const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Loopback(0);
    ::bind(tcp, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    ::getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size);
    const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
    const int bound = ::bind(udp, reinterpret_cast<sockaddr*>(&address), size);
    ::close(tcp);
    ::close(udp);
    const int port = ntohs(address.sin_port);
    if (bound == 0 && used.insert(port).second) return port;
  }
}

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
  }
  std::string Query(const std::string& name) const {
    std::string value;
    const std::size_t question = this->target.find('?');
    if (question == std::string::npos) return value;
    std::stringstream pairs(this->target.substr(question + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
      if (pair.rfind(name + '=', 0) != 0) continue;
      const std::string text = pair.substr(name.size() + 1);
      for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
          value += static_cast<char>(
              std::stoi(text.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += text[i];
        }
      }
    }
    return value;
  }
};

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

// One TCP connection with buffered reads.
class Connection {
 public:
  explicit Connection(int fd) : fd(fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Connection(const Connection&) = delete;
  ~Connection() { this->Close(); }

  void Close() {
    if (this->fd >= 0) ::close(this->fd);
    this->fd = -1;
  }
  void Reset() {
    const linger hard{1, 0};
    ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    this->Close();
  }
  bool Write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = ::send(this->fd, bytes.data() + sent,
                                   bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  // Reads more bytes. False at the end, after an error or at `until`; `timed_out`
  // tells the last.
  bool Fill(Clock::time_point until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd wait{this->fd, POLLIN, 0};
    this->timed_out =
        left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0;
    if (this->timed_out) return false;
    char bytes[65536];
    const ssize_t count = ::recv(this->fd, bytes, sizeof(bytes), 0);
    if (count <= 0) return false;
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  // True when the other side has closed and nothing is left to read.
  bool Closed() {
    char byte = 0;
    const ssize_t count =
        ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
  }
  bool ReadHead(std::string& first, std::map<std::string, std::string>& headers,
                Clock::time_point until) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(until)) return false;
    }
    std::stringstream lines(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    std::getline(lines, first);
    if (!first.empty() && first.back() == '\r') first.pop_back();
    for (std::string line; std::getline(lines, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::size_t begin = colon + 1;
      while (begin < line.size() && line[begin] == ' ') ++begin;
      headers[Lower(line.substr(0, colon))] = line.substr(begin);
    }
    return true;
  }
  bool ReadExactly(std::size_t count, std::string& out,
                   Clock::time_point until) {
    while (this->buffer.size() < count) {
      if (!this->Fill(until)) return false;
    }
    out += this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return true;
  }
  bool ReadLine(std::string& line, Clock::time_point until) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
      if (!this->Fill(until)) return false;
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
  }
  bool ReadChunked(std::string& body, Clock::time_point until) {
    while (true) {
      std::string line;
      if (!this->ReadLine(line, until)) return false;
      const std::size_t size = std::stoul(line, nullptr, 16);
      if (size > 0 && !this->ReadExactly(size, body, until)) return false;
      std::string rest;
      if (!this->ReadLine(rest, until)) return false;
      if (size == 0) return true;
    }
  }

  int fd;
  std::string buffer;
  bool timed_out = false;
};

// Reads one request with a body of known length or in chunks.
inline bool ReadRequest(Connection& connection, Request& request) {
  const auto until = Clock::now() + std::chrono::seconds(120);
  std::string first;
  request = Request{};
  if (!connection.ReadHead(first, request.headers, until)) return false;
  std::stringstream words(first);
  words >> request.method >> request.target;
  if (Lower(request.Header("transfer-encoding")) == "chunked") {
    return connection.ReadChunked(request.body, until);
  }
  const std::string length = request.Header("content-length");
  if (length.empty()) return true;
  return connection.ReadExactly(std::stoul(length), request.body, until);
}

inline std::string Reason(int status) {
  return status < 300 ? "OK" : status == 503 ? "Service Unavailable" : "Error";
}

inline std::string PlainAnswer(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + ' ' + Reason(status) + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return text;
}

// Accepts connections on a loopback port; a thread for each.
class TcpServer {
 public:
  using Handler = std::function<void(Connection&)>;

  TcpServer(int port, Handler handler) : port(port), handler(handler) {
    this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Loopback(port);
    if (::bind(this->fd, reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(this->fd, 512) != 0) {
      std::cerr << "cannot listen on port " << port << '\n';
      std::_Exit(kCannotRun);
    }
    std::thread([this] { this->Accept(); }).detach();
  }

  // Ends the server as the exit of its process does: nothing listens any more,
  // and all connections are closed. The object must not be destroyed.
  void Stop() {
    std::lock_guard lock(this->mutex);
    this->stopped = true;
    ::shutdown(this->fd, SHUT_RDWR);
    for (const int each : this->open) ::shutdown(each, SHUT_RDWR);
  }

  const int port;

 private:
  void Accept() {
    while (true) {
      const int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
      {
        std::lock_guard lock(this->mutex);
        if (accepted < 0 && this->stopped) {
          ::close(this->fd);
          return;
        }
        if (accepted < 0) continue;
        this->open.insert(accepted);
      }
      std::thread([this, accepted] {
        Connection connection(accepted);
        this->handler(connection);
        std::lock_guard lock(this->mutex);
        this->open.erase(accepted);
        connection.Close();
      }).detach();
    }
  }

  int fd;
  Handler handler;
  std::mutex mutex;
  std::set<int> open;
  bool stopped = false;
};

struct Answer {
  int status = 0;  // 0: none
  std::map<std::string, std::string> headers;
  std::string body;
  bool whole = false;
  bool timed_out = false;  // nothing ended the connection by the time limit
};

// A client on one kept connection, which it opens again after it was closed.
class Client {
 public:
  explicit Client(int port) : port(port) {}

  bool Connect() {
    this->connection.reset();
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(this->port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) != 0) {
      ::close(fd);
      return false;
    }
    this->connection = std::make_unique<Connection>(fd);
    this->answered = 0;
    return true;
  }
  // Opens the connection unless it is open.
  bool Ready() {
    if (this->connection && !this->connection->Closed()) return true;
    return this->Connect();
  }
  // Whether the connection has carried an answer before.
  bool Kept() const { return this->answered > 0; }

  Answer Call(const std::string& request, double timeout_s) {
    Answer answer;
    if (!this->connection && !this->Connect()) return answer;
    const auto until =
        Clock::now() + std::chrono::duration_cast<Clock::duration>(
                           std::chrono::duration<double>(timeout_s));
    Connection& open = *this->connection;
    std::string first;
    if (open.Write(request) && open.ReadHead(first, answer.headers, until)) {
      answer.status = std::atoi(first.substr(9, 3).c_str());
      const auto length = answer.headers.find("content-length");
      if (length != answer.headers.end()) {
        answer.whole =
            open.ReadExactly(std::stoul(length->second), answer.body, until);
      } else {
        answer.whole = open.ReadChunked(answer.body, until);
      }
    }
    answer.timed_out = open.timed_out;
    const bool close = !answer.whole ||
                       Lower(answer.headers["connection"]) == "close";
    if (answer.whole) ++this->answered;
    if (close) this->connection.reset();
    return answer;
  }

  std::unique_ptr<Connection> connection;

 private:
  int port;
  int answered = 0;
};

// --- the platform's store ----------------------------------------------------

inline std::string Base64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (i + j < bytes.size()
                   ? static_cast<unsigned char>(bytes[i + j])
                   : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

// Rows in tables with conditional transactions and a change feed. Copy() and
// Restore() play a restore from an older copy: what was written since is gone,
// versions are given out again, and the era rises.
class Store {
 public:
  explicit Store(int port)
      : server(port, [this](Connection& c) { this->Serve(c); }) {}

  int Port() const { return this->server.port; }

  // Writes a row as the operator or a server does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    std::lock_guard lock(this->mutex);
    this->rows[{table, "", key}] = {Base64(value), ++this->version, false};
    this->changed.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    std::lock_guard lock(this->mutex);
    this->rows[{table, "", key}] = {"", ++this->version, true};
    this->changed.notify_all();
  }
  void Copy() {
    std::lock_guard lock(this->mutex);
    this->copied_rows = this->rows;
    this->copied_version = this->version;
  }
  void Restore() {
    std::lock_guard lock(this->mutex);
    this->rows = this->copied_rows;
    this->version = this->copied_version;
    ++this->era;
    this->changed.notify_all();
  }
  // While it is away, the store closes connections without an answer.
  void SetAway(bool value) {
    std::lock_guard lock(this->mutex);
    this->away = value;
    this->changed.notify_all();
  }
  // The values of a table's rows with an empty part, still in base64.
  std::map<std::string, std::string> Rows(const std::string& table) {
    std::lock_guard lock(this->mutex);
    std::map<std::string, std::string> found;
    for (const auto& [key, row] : this->rows) {
      if (std::get<0>(key) == table && !row.removed) {
        found[std::get<2>(key)] = row.value;
      }
    }
    return found;
  }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };

  static Key KeyOf(const json::object& row) {
    return {std::string(row.at("table").as_string()),
            std::string(row.at("part").as_string()),
            std::string(row.at("key").as_string())};
  }
  static json::object ToJson(const Key& key, const Row& row) {
    json::object object{{"table", std::get<0>(key)},
                        {"part", std::get<1>(key)},
                        {"key", std::get<2>(key)},
                        {"value", row.value},
                        {"ver", row.version}};
    if (row.removed) object["removed"] = true;
    return object;
  }
  std::string Reply(int status, json::array found) const {
    const auto now_ms = std::chrono::duration_cast<milliseconds>(
                            Clock::now().time_since_epoch())
                            .count();
    const json::object body{{"rows", std::move(found)},
                            {"truncated", false},
                            {"ver", this->version},
                            {"now_ms", now_ms}};
    return PlainAnswer(status,
                       {{"Content-Type", "application/json"},
                        {"Store-Era", std::to_string(this->era)}},
                       json::serialize(body));
  }

  void Serve(Connection& connection) {
    Request request;
    while (ReadRequest(connection, request)) {
      std::string reply;
      {
        std::unique_lock lock(this->mutex);
        if (!this->away) reply = this->Handle(request, lock);
        if (this->away) reply.clear();
      }
      if (reply.empty()) {
        connection.Reset();
        return;
      }
      if (!connection.Write(reply)) return;
    }
  }

  std::string Handle(const Request& request,
                     std::unique_lock<std::mutex>& lock) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/api/rows-tx") return this->Transact(request.body);
    if (path == "/api/rows-get") {
      json::array found;
      for (const auto& [key, row] : this->rows) {
        if (row.removed || std::get<0>(key) != request.Query("table") ||
            std::get<1>(key) != request.Query("part")) {
          continue;
        }
        const std::string& name = std::get<2>(key);
        const std::string to = request.Query("to");
        if (name < request.Query("from") || (!to.empty() && name >= to)) continue;
        found.push_back(ToJson(key, row));
      }
      return this->Reply(200, std::move(found));
    }
    if (path == "/api/rows-feed") return this->Feed(request, lock);
    return PlainAnswer(404, {{"Store-Era", std::to_string(this->era)}}, "{}");
  }

  std::string Feed(const Request& request, std::unique_lock<std::mutex>& lock) {
    const std::uint64_t after = std::stoull(request.Query("after"));
    const auto until =
        Clock::now() + milliseconds(std::stoll(request.Query("wait_ms")));
    const std::uint64_t asked_era = this->era;
    while (true) {
      if (this->away) return {};
      if (after > this->version || this->era != asked_era) {
        return PlainAnswer(410, {{"Store-Era", std::to_string(this->era)}},
                           "{}");
      }
      std::map<std::uint64_t, json::array> by_version;
      for (const auto& [key, row] : this->rows) {
        if (std::get<0>(key) != request.Query("table")) continue;
        if (row.version <= after) continue;
        by_version[row.version].push_back(ToJson(key, row));
      }
      json::array found;
      for (auto& [version, rows] : by_version) {
        for (json::value& row : rows) found.push_back(std::move(row));
      }
      if (!found.empty() || Clock::now() >= until) {
        return this->Reply(200, std::move(found));
      }
      this->changed.wait_until(lock, until);
    }
  }

  std::string Transact(const std::string& body) {
    const json::value parsed = json::parse(body);
    const json::object& call = parsed.as_object();
    json::array current;
    bool holds = true;
    for (const json::value& each : call.at("precondition").as_array()) {
      const json::object& condition = each.as_object();
      const auto found = this->rows.find(KeyOf(condition));
      const bool absent = found == this->rows.end() || found->second.removed;
      const std::uint64_t version = absent ? 0 : found->second.version;
      holds = holds &&
              version == condition.at("ver").to_number<std::uint64_t>();
      if (!absent) current.push_back(ToJson(found->first, found->second));
    }
    if (!holds) return this->Reply(412, std::move(current));
    ++this->version;
    for (const json::value& each : call.at("puts").as_array()) {
      const json::object& row = each.as_object();
      this->rows[KeyOf(row)] = {std::string(row.at("value").as_string()),
                                this->version, false};
    }
    for (const json::value& each : call.at("remove").as_array()) {
      this->rows[KeyOf(each.as_object())] = {"", this->version, true};
    }
    this->changed.notify_all();
    return this->Reply(200, {});
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<Key, Row> rows;
  std::map<Key, Row> copied_rows;
  std::uint64_t version = 0;
  std::uint64_t copied_version = 0;
  std::uint64_t era = 1;
  bool away = false;
  TcpServer server;
};

// --- processes ---------------------------------------------------------------

// Starts a program with at most `descriptors` files and sockets, as the platform
// does. It is killed when this process ends.
inline pid_t Spawn(const std::vector<std::string>& command, int output,
                   rlim_t descriptors) {
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);
  ::dup2(output, 1);
  ::dup2(output, 2);
  const rlimit limit{descriptors, descriptors};
  ::setrlimit(RLIMIT_NOFILE, &limit);
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

// limits.max_fds of a machine.
constexpr rlim_t kDescriptors = 4100;

// One gateway, started as the deploy file says, with a settings file as the
// template makes it.
class Gateway {
 public:
  Gateway(int number, int store_port, std::string program, std::string folder)
      : number(number),
        caller_port(FreePort()),
        ready_port(FreePort()),
        peer_port(FreePort()),
        program(std::move(program)),
        folder(std::move(folder)) {
    const std::string name = "front-z" + std::to_string(number) + "-1";
    const auto address = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + '"';
    };
    std::ofstream(this->SettingsFile())
        << "{ \"kind\": \"gateway\", \"vm\": \"" << name
        << "\", \"availability_zone\": \"z" << number
        << "\", \"listen\": " << address(this->caller_port)
        << ", \"readiness\": { \"address\": " << address(this->ready_port)
        << ", \"path\": \"/api/readyz\" }, \"store\": " << address(store_port)
        << ", \"metrics\": " << address(FreePort())
        << ", \"peers\": " << address(this->peer_port)
        << ", \"retries\": { \"share\": 0.2, \"extra\": 56, \"window_s\": 10 }"
        << ", \"rollouts\": { \"share\": 0.1, \"extra\": 50 }, \"stop_s\": 8"
        << ", \"descriptors\": 4100, \"memory_mb\": 260"
        << ", \"log_level\": \"info\" }\n";
  }

  std::string SettingsFile() const {
    return this->folder + "/gateway" + std::to_string(this->number) + ".json";
  }
  std::string LogFile() const {
    return this->folder + "/gateway" + std::to_string(this->number) + ".log";
  }
  // Starts the process. Without `output`, it logs into LogFile().
  void Run(int output = -1) {
    int file = output;
    if (output < 0) {
      file = ::open(this->LogFile().c_str(),
                    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }
    this->pid = Spawn({this->program, "--gateway=" + this->SettingsFile()}, file,
                      kDescriptors);
    if (output < 0) ::close(file);
    Record::Line("gateway " + std::to_string(this->number) + " started, pid " +
                 std::to_string(this->pid));
  }
  // Whether the process has ended; `how` says how.
  bool Ended(std::string& how) {
    int status = 0;
    if (this->pid == 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid) {
      return false;
    }
    how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                              : "exit " + std::to_string(WEXITSTATUS(status));
    this->pid = 0;
    return true;
  }
  void Signal(int signal) const {
    if (this->pid > 0) ::kill(this->pid, signal);
  }
  // Waits for the end of the process, and kills it after the time limit.
  void WaitForEnd(double limit_s) {
    std::string how;
    const double until = Seconds() + limit_s;
    while (this->pid != 0 && Seconds() < until) {
      if (this->Ended(how)) return;
      Sleep(0.01);
    }
    if (this->pid == 0) return;
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    this->pid = 0;
  }
  bool IsReady() const {
    Client client(this->ready_port);
    const std::string request = "GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
    return client.Connect() && client.Call(request, 1).status == 200;
  }
  bool WaitUntilReady(double limit_s) const {
    const double until = Seconds() + limit_s;
    while (Seconds() < until) {
      if (this->IsReady()) return true;
      Sleep(0.05);
    }
    return false;
  }

  const int number;
  const int caller_port;
  const int ready_port;
  const int peer_port;
  pid_t pid = 0;

 private:
  std::string program;
  std::string folder;
};

// What a case gets from its run.sh.
struct Arguments {
  std::string program;  // the gateway's
  std::string folder;   // temporary
  bool trouble = true;
};

// case PROGRAM RECORD FOLDER
inline Arguments ReadArguments(int argc, char** argv) {
  if (argc != 4 || ::access(argv[1], X_OK) != 0) {
    std::cerr << "usage: case GATEWAY RECORD FOLDER\n";
    std::_Exit(kCannotRun);
  }
  ::signal(SIGPIPE, SIG_IGN);
  Record::Open(argv[2]);
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}

inline std::string NewId() {
  static std::atomic<std::uint64_t> next{1};
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08llx",
                static_cast<unsigned>(::getpid()),
                static_cast<unsigned long long>(next++));
  return text;
}

// The row of a server that is ready.
inline std::string ServerRow(const std::string& service, int port,
                             const std::string& zone, int slots) {
  return json::serialize(
      json::object{{"service", service},
                   {"address", "127.0.0.1:" + std::to_string(port)},
                   {"zone", zone},
                   {"version", "v1"},
                   {"slot_count", slots},
                   {"state", "ready"},
                   {"cold_left_ms", 0},
                   {"seq", 1}});
}

// Ends all processes and this one.
[[noreturn]] inline void Finish(std::vector<std::unique_ptr<Gateway>>& gateways,
                                int result, const std::string& verdict) {
  Record::Line(verdict);
  std::cout << verdict << std::endl;
  for (const auto& gateway : gateways) gateway->Signal(SIGKILL);
  for (const auto& gateway : gateways) {
    if (gateway->pid > 0) ::waitpid(gateway->pid, nullptr, 0);
  }
  std::_Exit(result);
}

}  // namespace review
