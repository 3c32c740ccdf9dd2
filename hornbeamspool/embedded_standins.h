// The embedded mode: stand-ins for the platform, two engines and a plain
// service in the daemon's own process, for trying the system out.
#pragma once

#include <memory>

#include "settings/node_settings.h"

namespace hornbeamspool {

class EmbeddedStandins {
 public:
  EmbeddedStandins();
  EmbeddedStandins(const EmbeddedStandins&) = delete;
  EmbeddedStandins& operator=(const EmbeddedStandins&) = delete;
  ~EmbeddedStandins();

  // Starts the stand-ins on free loopback ports. Returns false on failure.
  bool Start();

  // `settings` with the platform's addresses replaced by the stand-ins'.
  settings::NodeSettings UseStandinAddresses(
      settings::NodeSettings settings) const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace hornbeamspool
