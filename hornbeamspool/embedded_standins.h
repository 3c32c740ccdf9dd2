// Stand-ins for the platform's store, two model engines and a plain service
// that run in the daemon's process, for trial runs (--embedded).
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

  // Returns `settings` with the store's address replaced by the stand-in's.
  settings::NodeSettings UseStandinAddresses(
      settings::NodeSettings settings) const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace hornbeamspool
