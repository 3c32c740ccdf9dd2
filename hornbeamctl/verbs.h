// The subcommands of hornbeamctl, the operators' command line.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "hornbeamctl/operator_client.h"

namespace hornbeamspool::ctl {

// Exit codes.
enum ExitCode : int {
  kExitOk = 0,
  kExitRefused = 1,         // the router refused the request
  kExitUsage = 2,           // invalid command line or unreadable file
  kExitUnreachable = 3,     // no router answered
  kExitSettingsErrors = 4,  // a settings file has errors
  kExitNotAvailable = 5,    // the verb is not implemented by the router
};

// Values of the command-line flags; empty or 0 if a flag is not given.
struct VerbOptions {
  bool json = false;
  std::int64_t tokens = 0;
  std::string id;
  std::string organisation;
  std::string request;
  std::string budget;
  std::string move;
  std::int64_t first_token_ms = 0;
  std::int64_t token_gap_ms = 0;
  std::int64_t deadline_ms = 0;
};

// A subcommand: its line in the help and the function that runs it.
struct Verb {
  std::string_view noun;
  std::string_view verb;  // empty for a subcommand of one word
  std::string_view arguments;
  std::string_view help;
  // Returns the exit code.
  int (*run)(const OperatorClient& client, const VerbOptions& options,
             std::span<const std::string_view> arguments);
  std::size_t min_arguments = 0;
};

// All subcommands in the order of the help.
std::span<const Verb> AllVerbs();

}  // namespace hornbeamspool::ctl
