// The router daemon.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#ifdef __GLIBC__
#include <malloc.h>
#endif

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>

#include "gateway/gateway.h"
#include "hornbeamspool/daemon.h"
#include "hornbeamspool/embedded_standins.h"
#include "settings/gateway_settings.h"
#include "settings/node_settings.h"
#include "settings/settings_error.h"

ABSL_FLAG(std::string, settings, "", "settings file of this node");
ABSL_FLAG(std::string, gateway, "", "run as a gateway with this settings file");
ABSL_FLAG(bool, embedded, false,
          "run stand-ins for the platform and the upstreams in this process");

namespace {

using namespace hornbeamspool;  // NOLINT(google-build-using-namespace)

// Exit codes.
constexpr int kOk = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;
constexpr int kNotClean = 3;

// Reads and validates a settings file. Prints every error in it and returns
// nothing if it is invalid.
template <typename Settings>
std::optional<Settings> ReadSettings(
    const std::string& path,
    boost::leaf::result<Settings> (*parse)(std::string_view)) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "cannot read " << path << '\n';
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  std::optional<Settings> read;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(read, parse(text.str()));
        return {};
      },
      [&](const settings::SettingsErrorList& errors) {
        for (const settings::SettingsError& error : errors) {
          std::cerr << path << ": " << error.where << ": " << error.message
                    << '\n';
        }
      },
      [&] { std::cerr << path << ": unknown fault\n"; });
  return read;
}

// Returns freed memory to the system. Larger blocks are mapped, and unmapped
// when they are freed; the end of the heap is trimmed. Without fixed values,
// glibc raises both thresholds to up to 64 MiB as blocks are freed.
void ReturnFreedMemory() {
#ifdef __GLIBC__
  constexpr int kMappedBytes = 64 * 1024;
  constexpr int kTrimBytes = 256 * 1024;
  ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimBytes);
#endif
}

int RunGateway(const std::string& path) {
  const auto read = [path] {
    return ReadSettings(path, &settings::ParseGatewaySettings);
  };
  std::optional<settings::GatewaySettings> found = read();
  if (!found) return kUsage;
  std::string error;
  {
    gateway::Gateway gateway(std::move(*found), read);
    error = gateway.Run();
  }
  if (!error.empty()) std::cerr << error << '\n';
  // Skips the destructor of log4cplus's thread pool. Its threads are idle, and
  // joining them takes seconds on a VM with a shared processor.
  std::cout.flush();
  std::quick_exit(error.empty() ? kOk : kFailed);
}

void WaitForSignal() {
  boost::asio::io_context io{1};
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { io.stop(); });
  io.run();
}

}  // namespace

int main(int argc, char** argv) {
  // A write to a closed pipe, such as the log's, fails instead.
  std::signal(SIGPIPE, SIG_IGN);
  ReturnFreedMemory();
  absl::SetProgramUsageMessage(
      "hornbeamspool --settings=FILE [--embedded]\n"
      "hornbeamspool --gateway=FILE\n"
      "Runs one router or gateway. On SIGTERM or SIGINT it finishes the "
      "requests in flight and exits.");
  absl::ParseCommandLine(argc, argv);
  const std::string gateway_path = absl::GetFlag(FLAGS_gateway);
  if (!gateway_path.empty()) return RunGateway(gateway_path);
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    std::cerr << "--settings=FILE or --gateway=FILE is required; see --help\n";
    return kUsage;
  }
  std::optional<settings::NodeSettings> node =
      ReadSettings(path, &settings::ParseNodeSettings);
  if (!node) return kUsage;
  // A router reads its settings only at its start: nothing to reload.
  std::signal(SIGHUP, SIG_IGN);
  EmbeddedStandins embedded;
  if (absl::GetFlag(FLAGS_embedded)) {
    if (!embedded.Start()) {
      std::cerr << "cannot start the stand-ins\n";
      return kFailed;
    }
    node = embedded.UseStandinAddresses(std::move(*node));
  }
  auto daemon = std::make_unique<Daemon>(*node);
  const std::string error = daemon->Start();
  if (!error.empty()) {
    std::cerr << error << '\n';
    return kFailed;
  }
  WaitForSignal();
  return daemon->Shutdown() ? kOk : kNotClean;
}
