// One server of six breaks off one in forty of its lookups.
#include <cmath>

#include "../deployment.hpp"

using namespace review;

namespace {

constexpr int kBrokenOffEvery = 40;  // of the faulty server's lookups: 2.5 in 100
// The fault lasts kFaultSeconds, again and again.
constexpr double kFaultSeconds = 5;
constexpr double kFaultPeriodSeconds = 7;

std::atomic<int> broken_off{0};

bool BreakOff(Connection& connection, const std::string& server,
              const Request& request) {
  static std::atomic<int> lookups{0};
  const bool lookup = request.target.rfind("/lookup/", 0) == 0;
  const bool faulty = std::fmod(Seconds(), kFaultPeriodSeconds) < kFaultSeconds;
  if (!faulty || !lookup || ++lookups % kBrokenOffEvery != 0) return false;
  ++broken_off;
  const std::string attempt = request.Header("attempt-id");
  Record::Line(server + " breaks off its answer to " + attempt);
  // An empty answer in chunks, without its last byte.
  connection.Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                   "\r\nServer-Stamp: stamp-" + server +
                   "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
  Sleep(0.02);
  connection.Write("\r");
  Sleep(0.02);
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = ReadArguments(argc, argv);
  Deployment deployment(arguments, arguments.trouble ? Fault(BreakOff) : Fault());
  deployment.Run(nullptr, "answers broken off", broken_off);
}
