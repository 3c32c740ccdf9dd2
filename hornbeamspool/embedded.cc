#include "hornbeamspool/embedded.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "standin/engine_standin.h"
#include "standin/platform_standin.h"
#include "standin/service_standin.h"

namespace hornbeamspool {
namespace {

namespace json = boost::json;

constexpr const char* kAnyPort = "127.0.0.1:0";

std::string LoopbackAddress(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

json::object VmLine(std::string_view name, std::string_view service,
                    std::string_view version, std::uint16_t port) {
  return {{"name", name},
          {"service", service},
          {"version", version},
          {"availability_zone", "zone-a"},
          {"address", LoopbackAddress(port)},
          {"state", "live"}};
}

}  // namespace

struct Embedded::Parts {
  boost::asio::io_context io{1};
  std::list<standin::EngineStandin> engines;
  std::unique_ptr<standin::ServiceStandin> service;
  std::unique_ptr<standin::PlatformStandin> platform;
  std::string platform_address;
  std::thread thread;
};

Embedded::Embedded() : parts(std::make_unique<Parts>()) {}

Embedded::~Embedded() {
  this->parts->io.stop();
  if (this->parts->thread.joinable()) this->parts->thread.join();
}

bool Embedded::Start() {
  Parts& parts = *this->parts;
  json::array vms;
  for (const char* name : {"engine-1", "engine-2"}) {
    standin::EngineOptions options;
    options.name = name;
    auto& engine = parts.engines.emplace_back(parts.io, options);
    const std::uint16_t port = engine.Listen(kAnyPort);
    if (port == 0) return false;
    vms.push_back(VmLine(name, "planner", options.version, port));
  }
  parts.service = std::make_unique<standin::ServiceStandin>(parts.io, "orders");
  const std::uint16_t service_port = parts.service->Listen(kAnyPort);
  if (service_port == 0) return false;
  vms.push_back(VmLine("orders-1", "ordering", "v1", service_port));
  parts.platform = std::make_unique<standin::PlatformStandin>(
      parts.io, json::serialize(json::object{{"vms", std::move(vms)}}));
  const std::uint16_t port = parts.platform->Listen(kAnyPort);
  if (port == 0) return false;
  parts.platform_address = LoopbackAddress(port);
  parts.thread = std::thread([&parts] { parts.io.run(); });
  return true;
}

settings::NodeSettings Embedded::Adopt(settings::NodeSettings settings) const {
  settings.platform.table = this->parts->platform_address;
  settings.platform.objects = this->parts->platform_address;
  settings.platform.weights = this->parts->platform_address;
  settings.platform.vms = this->parts->platform_address;
  return settings;
}

}  // namespace hornbeamspool
