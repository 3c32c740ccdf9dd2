#include "hornbeamspool/embedded_standins.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "standin/engine_standin.h"
#include "standin/service_standin.h"
#include "standin/store_standin.h"

namespace hornbeamspool {
namespace {

namespace json = boost::json;

constexpr const char* kAnyPort = "127.0.0.1:0";

std::string LoopbackAddress(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// The row that an upstream registers itself with in the store.
std::string UpstreamRow(std::string_view service, std::string_view version,
                        std::uint16_t port) {
  return json::serialize(json::object{{"service", service},
                                      {"version", version},
                                      {"zone", "zone-a"},
                                      {"address", LoopbackAddress(port)},
                                      {"slot_count", 8},
                                      {"state", "ready"}});
}

}  // namespace

struct EmbeddedStandins::Parts {
  boost::asio::io_context io{1};
  std::list<standin::EngineStandin> engines;
  std::unique_ptr<standin::ServiceStandin> service;
  std::unique_ptr<standin::StoreStandin> store;
  std::string store_address;
  std::thread thread;
};

EmbeddedStandins::EmbeddedStandins() : parts(std::make_unique<Parts>()) {}

EmbeddedStandins::~EmbeddedStandins() {
  this->parts->io.stop();
  if (this->parts->thread.joinable()) this->parts->thread.join();
}

bool EmbeddedStandins::Start() {
  Parts& parts = *this->parts;
  parts.store = std::make_unique<standin::StoreStandin>(parts.io);
  const std::uint16_t store_port = parts.store->Listen(kAnyPort);
  if (store_port == 0) return false;
  parts.store_address = LoopbackAddress(store_port);
  for (const char* name : {"engine-1", "engine-2"}) {
    standin::EngineOptions options;
    options.name = name;
    auto& engine = parts.engines.emplace_back(parts.io, options);
    const std::uint16_t port = engine.Listen(kAnyPort);
    if (port == 0) return false;
    parts.store->Put("servers", name,
                     UpstreamRow("planner", options.version, port));
  }
  parts.service = std::make_unique<standin::ServiceStandin>(parts.io, "orders");
  const std::uint16_t service_port = parts.service->Listen(kAnyPort);
  if (service_port == 0) return false;
  parts.store->Put("servers", "orders-1",
                   UpstreamRow("ordering", "v1", service_port));
  parts.thread = std::thread([&parts] { parts.io.run(); });
  return true;
}

settings::NodeSettings EmbeddedStandins::UseStandinAddresses(
    settings::NodeSettings settings) const {
  settings.platform.store = this->parts->store_address;
  return settings;
}

}  // namespace hornbeamspool
