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

// Returns the errors that `check` loads when it fails.
template <typename Check>
SettingsErrorList ErrorsFrom(const Check& check) {
  SettingsErrorList errors;
  boost::leaf::try_handle_all(
      check, [&](const SettingsErrorList& loaded) { errors = loaded; },
      [&] {
        errors.push_back({"", "unknown fault"});
      });
  return errors;
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

SettingsErrorList CheckFleetConfig(std::string_view text) {
  return ErrorsFrom([&]() -> boost::leaf::result<void> {
    BOOST_LEAF_CHECK(ParseFleetConfig(text));
    return {};
  });
}

SettingsErrorList CheckSettings(std::string_view text) {
  return ErrorsFrom([&] { return CheckByKind(text); });
}

}  // namespace hornbeamspool::settings
