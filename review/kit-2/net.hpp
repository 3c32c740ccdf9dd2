// HTTP/1.1 over blocking sockets for the stand-ins and clients of the cases.
// Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Find(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (::strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return {};
}

struct Request {
  std::string method, target;
  Headers headers;
  std::string body;
  std::string Path() const { return this->target.substr(0, this->target.find('?')); }
  std::string Query(const std::string& name) const {
    std::size_t at = this->target.find('?');
    if (at == std::string::npos) return {};
    std::string rest = this->target.substr(at + 1);
    while (!rest.empty()) {
      const std::size_t end = rest.find('&');
      const std::string pair = rest.substr(0, end);
      rest = end == std::string::npos ? "" : rest.substr(end + 1);
      const std::size_t equals = pair.find('=');
      if (pair.substr(0, equals) != name || equals == std::string::npos) continue;
      std::string decoded;
      for (std::size_t i = equals + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          decoded += static_cast<char>(std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          decoded += pair[i];
        }
      }
      return decoded;
    }
    return {};
  }
};

struct Response {
  int status = 0;  // 0: no answer
  Headers headers;
  std::string body;
  bool whole = false;
  std::string error;
};

// A socket with a read buffer. All calls end by `deadline_ms` (steady clock).
class Channel {
 public:
  explicit Channel(int fd) : fd(fd) {
    int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() { this->Close(); }
  void Close() {
    const int old = this->fd.exchange(-1);
    if (old >= 0) ::close(old);
  }
  int Fd() const { return this->fd; }

  bool Write(const std::string& bytes, std::int64_t deadline_ms) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      if (!this->Poll(POLLOUT, deadline_ms)) return false;
      const ssize_t n = ::send(this->fd, bytes.data() + sent, bytes.size() - sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // 1: bytes were added, 0: the end, -1: an error or the deadline.
  int Fill(std::int64_t deadline_ms) {
    if (!this->Poll(POLLIN, deadline_ms)) return -1;
    char bytes[16384];
    const ssize_t n = ::recv(this->fd, bytes, sizeof bytes, 0);
    if (n < 0) return -1;
    if (n == 0) return 0;
    this->buffer.append(bytes, static_cast<std::size_t>(n));
    return 1;
  }
  bool ReadLine(std::string& line, std::int64_t deadline_ms) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
      if (this->buffer.size() > 65536 || this->Fill(deadline_ms) != 1) return false;
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
  }
  bool ReadBytes(std::size_t count, std::string& out, std::int64_t deadline_ms) {
    while (this->buffer.size() < count) {
      if (this->Fill(deadline_ms) != 1) return false;
    }
    out += this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return true;
  }
  bool ReadHeaders(Headers& headers, std::int64_t deadline_ms) {
    std::string line;
    while (true) {
      if (!this->ReadLine(line, deadline_ms)) return false;
      if (line.empty()) return true;
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) return false;
      std::size_t value = line.find_first_not_of(' ', colon + 1);
      headers.emplace_back(line.substr(0, colon),
                           value == std::string::npos ? "" : line.substr(value));
    }
  }
  bool ReadChunks(std::string& body, std::int64_t deadline_ms) {
    std::string line;
    while (true) {
      if (!this->ReadLine(line, deadline_ms)) return false;
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size == 0) break;
      if (!this->ReadBytes(size, body, deadline_ms)) return false;
      if (!this->ReadLine(line, deadline_ms)) return false;
    }
    Headers trailers;
    return this->ReadHeaders(trailers, deadline_ms);
  }
  bool ReadRequest(Request& request, std::int64_t deadline_ms) {
    std::string line;
    if (!this->ReadLine(line, deadline_ms)) return false;
    const std::size_t a = line.find(' ');
    const std::size_t b = line.rfind(' ');
    if (a == std::string::npos || a == b) return false;
    request.method = line.substr(0, a);
    request.target = line.substr(a + 1, b - a - 1);
    if (!this->ReadHeaders(request.headers, deadline_ms)) return false;
    if (::strcasecmp(Find(request.headers, "Transfer-Encoding").c_str(), "chunked") == 0) {
      return this->ReadChunks(request.body, deadline_ms);
    }
    const std::string length = Find(request.headers, "Content-Length");
    return length.empty() || this->ReadBytes(std::strtoul(length.c_str(), nullptr, 10),
                                             request.body, deadline_ms);
  }
  // `method`: of the request. A HEAD response has no body.
  Response ReadResponse(std::int64_t deadline_ms, const std::string& method = "GET") {
    Response response;
    std::string line;
    if (!this->ReadLine(line, deadline_ms)) {
      response.error = NowMs() >= deadline_ms ? "no answer in time" : "closed without an answer";
      return response;
    }
    if (line.rfind("HTTP/1.1 ", 0) != 0 || line.size() < 12) {
      response.error = "no answer in the protocol: " + line.substr(0, 80);
      response.status = -1;
      return response;
    }
    response.status = std::atoi(line.c_str() + 9);
    if (!this->ReadHeaders(response.headers, deadline_ms)) {
      response.error = "head cut off";
      return response;
    }
    if (method == "HEAD" || response.status == 204 || response.status == 304) {
      response.whole = true;
    } else if (::strcasecmp(Find(response.headers, "Transfer-Encoding").c_str(), "chunked") == 0) {
      response.whole = this->ReadChunks(response.body, deadline_ms);
    } else if (!Find(response.headers, "Content-Length").empty()) {
      response.whole = this->ReadBytes(
          std::strtoul(Find(response.headers, "Content-Length").c_str(), nullptr, 10),
          response.body, deadline_ms);
    } else {
      int got = 1;
      while ((got = this->Fill(deadline_ms)) == 1) {
      }
      response.body = std::exchange(this->buffer, "");
      response.whole = got == 0;
    }
    if (!response.whole) response.error = "answer cut off";
    return response;
  }

 private:
  bool Poll(short events, std::int64_t deadline_ms) {
    while (true) {
      const std::int64_t left = deadline_ms - NowMs();
      if (left <= 0 || this->fd < 0) return false;
      pollfd poll{this->fd, events, 0};
      const int n = ::poll(&poll, 1, static_cast<int>(left));
      if (n > 0) return true;
      if (n < 0 && errno != EINTR) return false;
    }
  }
  std::atomic<int> fd;
  std::string buffer;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
  address.sin_port = ::htons(static_cast<std::uint16_t>(port));
  return address;
}

// -1 when the connection is refused or takes longer.
inline int Connect(int port, std::int64_t deadline_ms) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  timeval timeout{};
  const std::int64_t left = std::max<std::int64_t>(1, deadline_ms - NowMs());
  timeout.tv_sec = left / 1000;
  timeout.tv_usec = left % 1000 * 1000;
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline std::string Text(const Request& request) {
  std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) text += name + ": " + value + "\r\n";
  if (!request.body.empty() || request.method == "POST") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

inline std::string Text(const Response& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " x\r\n";
  for (const auto& [name, value] : response.headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" +
         response.body;
}

// One request on a connection of its own.
inline Response Call(int port, const Request& request, std::int64_t timeout_ms) {
  const std::int64_t deadline = NowMs() + timeout_ms;
  Channel channel(Connect(port, NowMs() + std::min<std::int64_t>(1000, timeout_ms)));
  Response response;
  if (channel.Fd() < 0) {
    response.error = "no connection";
    return response;
  }
  if (!channel.Write(Text(request), deadline)) {
    response.error = "not sent";
    return response;
  }
  return channel.ReadResponse(deadline, request.method);
}

// A server with one thread a connection. The handler answers on the channel
// and returns whether the connection stays open.
class HttpServer {
 public:
  using Handler = std::function<bool(Channel&, const Request&)>;
  explicit HttpServer(Handler handler) : handler(std::move(handler)) {
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = Loopback(0);
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(this->listener, 512) != 0) {
      std::abort();
    }
    socklen_t size = sizeof address;
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ::ntohs(address.sin_port);
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  ~HttpServer() {
    this->Stop();
    this->acceptor.join();
    while (this->running > 0) SleepMs(5);
  }
  int Port() const { return this->port; }
  // Closes the listener and all connections.
  void Stop() {
    if (this->stopped.exchange(true)) return;
    ::shutdown(this->listener, SHUT_RDWR);
    const std::scoped_lock lock(this->mutex);
    for (Channel* channel : this->channels) ::shutdown(channel->Fd(), SHUT_RDWR);
  }

 private:
  void Accept() {
    while (!this->stopped) {
      const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (this->stopped) break;
        SleepMs(5);
        continue;
      }
      ++this->running;
      std::thread([this, fd] { this->Serve(fd); }).detach();
    }
    ::close(this->listener);
  }
  void Serve(int fd) {
    {
      Channel channel(fd);
      {
        const std::scoped_lock lock(this->mutex);
        this->channels.insert(&channel);
      }
      bool open = !this->stopped;
      while (open) {
        Request request;
        open = channel.ReadRequest(request, NowMs() + 60'000) && !this->stopped &&
               this->handler(channel, request);
      }
      const std::scoped_lock lock(this->mutex);
      this->channels.erase(&channel);
    }
    --this->running;
  }

  Handler handler;
  int listener = -1;
  int port = 0;
  std::thread acceptor;
  std::atomic<bool> stopped{false};
  std::atomic<int> running{0};
  std::mutex mutex;
  std::set<Channel*> channels;
};

}  // namespace review
