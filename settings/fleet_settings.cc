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
constexpr std::size_t kDigestHexBytes = 64;
constexpr std::array<std::string_view, 2> kFencingNames{"ignored", "checked"};

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/';
  });
}

std::string Name(ObjectReader& reader, std::string_view key) {
  std::string name = reader.Text(key);
  if (!name.empty() && !IsName(name)) {
    reader.AddError(key, "may hold letters, digits and - _ . / only");
  }
  return name;
}

bool IsDigest(std::string_view text) {
  if (text.size() != kDigestHexBytes) return false;
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

coordination::Duration Milliseconds(ObjectReader& reader,
                                    std::string_view key) {
  return std::chrono::milliseconds(
      reader.Integer(key, IntegerRange{1, kMaxTargetMs}));
}

void ReadClass(ObjectReader& reader, FleetConfig& config) {
  policy::WorkClass work_class;
  work_class.name = Name(reader, "name");
  reader.Member("targets", [&](ObjectReader& targets) {
    work_class.targets.first_token = Milliseconds(targets, "first_token_ms");
    work_class.targets.token_gap = Milliseconds(targets, "token_gap_ms");
    work_class.targets.deadline = Milliseconds(targets, "deadline_ms");
  });
  config.classes.push_back(std::move(work_class));
}

void ReadOrganisation(ObjectReader& reader, FleetConfig& config) {
  policy::Organisation organisation;
  organisation.name = Name(reader, "name");
  organisation.classes = reader.Texts("classes");
  reader.Each("keys", true, [&](ObjectReader& key) {
    policy::OrganisationKey read;
    read.sha256 = key.Text("sha256");
    if (!read.sha256.empty() && !IsDigest(read.sha256)) {
      key.AddError("sha256", "must be 64 lower-case hex digits");
    }
    read.budget = Name(key, "budget");
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
  model.name = Name(reader, "name");
  model.service = Name(reader, "service");
  model.version = Name(reader, "version");
  const IntegerRange tokens{1, kMaxTokens};
  model.default_max_tokens = reader.Integer("default_max_tokens", tokens);
  model.limit_max_tokens = reader.Integer("limit_max_tokens", tokens);
  model.min_bytes_per_token =
      reader.IntegerOr("min_bytes_per_token", IntegerRange{1, 16}, 1);
  // The safe default: orders to engines are not refused by a fencing number.
  model.fencing = static_cast<policy::FencingSupport>(
      reader.ChoiceOr("fencing", kFencingNames, 0));
  if (model.default_max_tokens > model.limit_max_tokens) {
    reader.AddError("default_max_tokens", "is over limit_max_tokens");
  }
  config.models.push_back(std::move(model));
}

void ReadRoute(ObjectReader& reader, FleetConfig& config) {
  policy::PlainRoute route;
  route.prefix = reader.Text("prefix");
  if (!route.prefix.empty() && !route.prefix.starts_with('/')) {
    reader.AddError("prefix", "must start with /");
  }
  if (route.prefix.starts_with("/v1/chat/")) {
    reader.AddError("prefix", "is taken by model requests");
  }
  route.service = Name(reader, "service");
  route.price_tokens =
      reader.IntegerOr("price_tokens", IntegerRange{0, kMaxTokens}, 0);
  std::set<std::string> seen;
  reader.Each("calls", true, [&](ObjectReader& call) {
    policy::RouteCall read;
    read.methods = call.Texts("methods");
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

// Notes names that stand twice among the members of one list.
template <typename List, typename NameOf>
void CheckUnique(const List& list, std::string_view list_name,
                 const NameOf& name_of, ValidationErrors& errors) {
  std::set<std::string> seen;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string name = name_of(list[i]);
    if (name.empty() || seen.insert(name).second) continue;
    std::string where = "/" + std::string(list_name);
    where += "/" + std::to_string(i);
    errors.push_back({std::move(where), name + " stands twice"});
  }
}

void CheckWhole(const FleetConfig& config, ValidationErrors& errors) {
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
  ValidationErrors errors;
  {
    ObjectReader root(document, "", errors);
    if (root.Text("kind") != "fleet") root.AddError("kind", "must be fleet");
    // Classes first: organisations name them.
    root.Each("classes", true, [&](ObjectReader& r) { ReadClass(r, config); });
    root.Each("organisations", true,
              [&](ObjectReader& r) { ReadOrganisation(r, config); });
    root.Each("models", false, [&](ObjectReader& r) { ReadModel(r, config); });
    root.Each("routes", false, [&](ObjectReader& r) { ReadRoute(r, config); });
  }
  CheckWhole(config, errors);
  if (!errors.empty()) return boost::leaf::new_error(std::move(errors));
  return config;
}

}  // namespace hornbeamspool::settings
