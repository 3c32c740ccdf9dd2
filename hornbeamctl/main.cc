// hornbeamctl: the operators' command line.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamctl/verbs.h"

ABSL_FLAG(std::string, router, "127.0.0.1:9080",
          "HOST:PORT of the operators' listener of any router");
ABSL_FLAG(
    std::string, key, "",
    "operators' key; defaults to the environment variable HORNBEAMCTL_KEY");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::int64_t, tokens, 0, "tokens to add to a budget");
ABSL_FLAG(std::string, id, "",
          "id of a budget change; a repeat with the same id has no effect");
ABSL_FLAG(std::string, organisation, "", "organisation whose bills to list");
ABSL_FLAG(std::string, request, "", "only events of this request");
ABSL_FLAG(std::string, budget, "", "only events of this budget");
ABSL_FLAG(std::string, move, "", "only events of this version rollout");
ABSL_FLAG(std::int64_t, first_token_ms, 0,
          "class target: 95th percentile of time to first token, ms");
ABSL_FLAG(std::int64_t, token_gap_ms, 0,
          "class target: 95th percentile of time between tokens, ms");
ABSL_FLAG(std::int64_t, deadline_ms, 0,
          "class target: time to the end of the response, ms");

namespace {

using namespace hornbeamspool::ctl;  // NOLINT(google-build-using-namespace)

std::string HelpText() {
  std::ostringstream text;
  text << "hornbeamctl VERB [arguments] [flags]\n\n";
  for (const Verb& verb : AllVerbs()) {
    std::string words(verb.noun);
    for (const std::string_view word : {verb.verb, verb.arguments}) {
      if (word.empty()) continue;
      words += ' ';
      words += word;
    }
    constexpr int kWidth = 24;
    text << "  " << std::left << std::setw(kWidth) << words << verb.help
         << '\n';
  }
  text << "\nExit codes: 0 done, 1 refused, 2 usage, 3 no router answered, "
          "4 errors in a settings file, 5 not available.\nFlags: --helpfull\n";
  return text.str();
}

VerbOptions ReadOptions() {
  VerbOptions options;
  options.json = absl::GetFlag(FLAGS_json);
  options.tokens = absl::GetFlag(FLAGS_tokens);
  options.id = absl::GetFlag(FLAGS_id);
  options.organisation = absl::GetFlag(FLAGS_organisation);
  options.request = absl::GetFlag(FLAGS_request);
  options.budget = absl::GetFlag(FLAGS_budget);
  options.move = absl::GetFlag(FLAGS_move);
  options.first_token_ms = absl::GetFlag(FLAGS_first_token_ms);
  options.token_gap_ms = absl::GetFlag(FLAGS_token_gap_ms);
  options.deadline_ms = absl::GetFlag(FLAGS_deadline_ms);
  return options;
}

std::string OperatorKey() {
  std::string key = absl::GetFlag(FLAGS_key);
  if (!key.empty()) return key;
  const char* from_environment = std::getenv("HORNBEAMCTL_KEY");
  return from_environment == nullptr ? std::string() : from_environment;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(HelpText());
  const std::vector<char*> parsed = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string_view> words(parsed.begin() + 1, parsed.end());
  if (words.empty() || words[0] == "help") {
    std::cout << HelpText();
    return words.empty() ? kExitUsage : kExitOk;
  }
  for (const Verb& verb : AllVerbs()) {
    if (verb.noun != words[0]) continue;
    const std::size_t verb_words = verb.verb.empty() ? 1 : 2;
    if (verb_words == 2 && (words.size() < 2 || words[1] != verb.verb)) {
      continue;
    }
    const std::vector<std::string_view> arguments(words.begin() + verb_words,
                                                  words.end());
    if (arguments.size() < verb.min_arguments) {
      std::cerr << verb.noun << ' ' << verb.verb << " requires "
                << verb.arguments << '\n';
      return kExitUsage;
    }
    const OperatorClient client(absl::GetFlag(FLAGS_router), OperatorKey());
    return verb.run(client, ReadOptions(), arguments);
  }
  std::cerr << "unknown command; see hornbeamctl help\n";
  return kExitUsage;
}
