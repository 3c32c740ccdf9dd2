#include "settings/fleet_settings.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>

#include "settings/json_text.h"
#include "settings/object_reader.h"

namespace hornbeamspool::settings {
namespace {

using policy::FleetConfig;

constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMaxTargetMs = 24LL * 3600 * 1000;
constexpr std::size_t kMaxNameBytes = 100;
constexpr std::size_t kSha256HexDigits = 64;
constexpr std::array<std::string_view, 2> kFencingModes{"ignored", "checked"};

bool IsValidName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/';
  });
}

std::string ReadName(ObjectReader& reader, std::string_view key) {
  std::string name = reader.String(key);
  if (!name.empty() && !IsValidName(name)) {
    reader.AddError(key, "may hold letters, digits and - _ . / only");
  }
  return name;
}

bool IsSha256(std::string_view text) {
  if (text.size() != kSha256HexDigits) return false;
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

coordination::Duration ReadMilliseconds(ObjectReader& reader,
                                        std::string_view key) {
  return std::chrono::milliseconds(
      reader.Integer(key, IntegerRange{1, kMaxTargetMs}));
}

void ReadClass(ObjectReader& reader, FleetConfig& config) {
  policy::WorkClass work_class;
  work_class.name = ReadName(reader, "name");
  reader.Member("targets", [&](ObjectReader& targets) {
    work_class.targets.first_token =
        ReadMilliseconds(targets, "first_token_ms");
    work_class.targets.token_gap = ReadMilliseconds(targets, "token_gap_ms");
    work_class.targets.deadline = ReadMilliseconds(targets, "deadline_ms");
  });
  config.classes.push_back(std::move(work_class));
}

void ReadOrganisation(ObjectReader& reader, FleetConfig& config) {
  policy::Organisation organisation;
  organisation.name = ReadName(reader, "name");
  organisation.classes = reader.Strings("classes");
  reader.ForEach("keys", true, [&](ObjectReader& key) {
    policy::OrganisationKey read;
    read.sha256 = key.String("sha256");
    if (!read.sha256.empty() && !IsSha256(read.sha256)) {
      key.AddError("sha256", "must be 64 lower-case hex digits");
    }
    read.budget = ReadName(key, "budget");
    organisation.keys.push_back(std::move(read));
  });
  for (std::size_t i = 0; i < organisation.classes.size(); ++i) {
    const std::string& wanted = organisation.classes[i];
    const bool known = std::any_of(
        config.classes.begin(), config.classes.end(),
        [&](const policy::WorkClass& c) { return c.name == wanted; });
    if (known) continue;
    reader.AddError("classes/" + std::to_string(i), "no class has this name");
  }
  config.organisations.push_back(std::move(organisation));
}

void ReadModel(ObjectReader& reader, FleetConfig& config) {
  policy::Model model;
  model.name = ReadName(reader, "name");
  model.service = ReadName(reader, "service");
  model.version = ReadName(reader, "version");
  const IntegerRange tokens{1, kMaxTokens};
  model.default_max_tokens = reader.Integer("default_max_tokens", tokens);
  model.limit_max_tokens = reader.Integer("limit_max_tokens", tokens);
  model.min_bytes_per_token =
      reader.IntegerOr("min_bytes_per_token", IntegerRange{1, 16}, 1);
  // The safe default: don't rely on engines to reject an outdated fencing
  // token.
  model.fencing = static_cast<policy::FencingSupport>(
      reader.ChoiceOr("fencing", kFencingModes, 0));
  if (model.default_max_tokens > model.limit_max_tokens) {
    reader.AddError("default_max_tokens", "is over limit_max_tokens");
  }
  config.models.push_back(std::move(model));
}

void ReadRoute(ObjectReader& reader, FleetConfig& config) {
  policy::PlainRoute route;
  route.prefix = reader.String("prefix");
  if (!route.prefix.empty() && !route.prefix.starts_with('/')) {
    reader.AddError("prefix", "must start with /");
  }
  if (route.prefix.starts_with("/v1/chat/")) {
    reader.AddError("prefix", "is taken by model requests");
  }
  route.service = ReadName(reader, "service");
  route.price_tokens =
      reader.IntegerOr("price_tokens", IntegerRange{0, kMaxTokens}, 0);
  std::set<std::string> seen;
  reader.ForEach("calls", true, [&](ObjectReader& call) {
    policy::RouteCall read;
    read.methods = call.Strings("methods");
    read.repeatable = call.BooleanOr("repeatable", false);
    read.key_required = call.BooleanOr("key_required", !read.repeatable);
    for (const std::string& method : read.methods) {
      if (seen.insert(method).second) continue;
      call.AddError("methods", "names " + method + " again");
    }
    route.calls.push_back(std::move(read));
  });
  config.routes.push_back(std::move(route));
}

// Records an error for each name that occurs twice in a list.
template <typename List, typename NameOf>
void CheckUnique(const List& list, std::string_view list_name,
                 const NameOf& name_of, SettingsErrorList& errors) {
  std::set<std::string> seen;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string name = name_of(list[i]);
    if (name.empty() || seen.insert(name).second) continue;
    std::string where = "/" + std::string(list_name);
    where += "/" + std::to_string(i);
    errors.push_back({std::move(where), name + " stands twice"});
  }
}

void CheckUniqueNames(const FleetConfig& config, SettingsErrorList& errors) {
  CheckUnique(
      config.organisations, "organisations",
      [](const auto& item) { return item.name; }, errors);
  CheckUnique(
      config.classes, "classes", [](const auto& item) { return item.name; },
      errors);
  CheckUnique(
      config.models, "models", [](const auto& item) { return item.name; },
      errors);
  CheckUnique(
      config.routes, "routes", [](const auto& item) { return item.prefix; },
      errors);
  std::vector<policy::OrganisationKey> keys;
  for (const policy::Organisation& organisation : config.organisations) {
    keys.insert(keys.end(), organisation.keys.begin(), organisation.keys.end());
  }
  CheckUnique(
      keys, "organisations/*/keys",
      [](const auto& item) { return item.sha256; }, errors);
}

}  // namespace

boost::leaf::result<FleetConfig> ParseFleetConfig(std::string_view text) {
  BOOST_LEAF_AUTO(document, ParseJsonText(text));
  FleetConfig config;
  SettingsErrorList errors;
  {
    ObjectReader root(document, "", errors);
    if (root.String("kind") != "fleet") root.AddError("kind", "must be fleet");
    // Classes are read first, because organisations refer to them.
    root.ForEach("classes", true,
                 [&](ObjectReader& r) { ReadClass(r, config); });
    root.ForEach("organisations", true,
                 [&](ObjectReader& r) { ReadOrganisation(r, config); });
    root.ForEach("models", false,
                 [&](ObjectReader& r) { ReadModel(r, config); });
    root.ForEach("routes", false,
                 [&](ObjectReader& r) { ReadRoute(r, config); });
  }
  CheckUniqueNames(config, errors);
  if (!errors.empty()) return boost::leaf::new_error(std::move(errors));
  return config;
}

}  // namespace hornbeamspool::settings
