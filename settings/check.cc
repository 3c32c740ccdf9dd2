#include "settings/check.h"

#include <boost/json/object.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include "settings/fleet_settings.h"
#include "settings/gateway_settings.h"
#include "settings/json_text.h"
#include "settings/node_settings.h"

namespace hornbeamspool::settings {
namespace {

// The faults that `check` loads when it fails.
template <typename Check>
FaultList FaultsFrom(const Check& check) {
  FaultList found;
  boost::leaf::try_handle_all(
      check, [&](const FaultList& faults) { found = faults; },
      [&] {
        found.push_back({"", "unknown fault"});
      });
  return found;
}

boost::leaf::result<void> CheckByKind(std::string_view text) {
  BOOST_LEAF_AUTO(document, ParseJsonText(text));
  const boost::json::object* object = document.if_object();
  const boost::json::value* kind =
      object == nullptr ? nullptr : object->if_contains("kind");
  if (kind != nullptr && *kind == "node") {
    BOOST_LEAF_CHECK(ParseNodeSettings(text));
  } else if (kind != nullptr && *kind == "gateway") {
    BOOST_LEAF_CHECK(ParseGatewaySettings(text));
  } else {
    BOOST_LEAF_CHECK(ParseFleetConfig(text));
  }
  return {};
}

}  // namespace

FaultList FaultsOfFleet(std::string_view text) {
  return FaultsFrom([&]() -> boost::leaf::result<void> {
    BOOST_LEAF_CHECK(ParseFleetConfig(text));
    return {};
  });
}

FaultList FaultsOf(std::string_view text) {
  return FaultsFrom([&] { return CheckByKind(text); });
}

}  // namespace hornbeamspool::settings
