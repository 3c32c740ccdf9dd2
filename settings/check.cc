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

// The errors with which `parse` fails; empty when it succeeds.
template <typename Parse>
ValidationErrors ErrorsFrom(const Parse& parse) {
  ValidationErrors found;
  boost::leaf::try_handle_all(
      parse, [&](const ValidationErrors& errors) { found = errors; },
      [&] {
        found.push_back({"", "unknown fault"});
      });
  return found;
}

boost::leaf::result<void> ParseByKind(std::string_view text) {
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

ValidationErrors ValidateFleetConfig(std::string_view text) {
  return ErrorsFrom([&]() -> boost::leaf::result<void> {
    BOOST_LEAF_CHECK(ParseFleetConfig(text));
    return {};
  });
}

ValidationErrors ValidateSettings(std::string_view text) {
  return ErrorsFrom([&] { return ParseByKind(text); });
}

}  // namespace hornbeamspool::settings
