// The verbs of the operators' command line.
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
  kExitRefused = 1,       // the system refused
  kExitUsage = 2,         // the words of the command are off
  kExitUnreachable = 3,   // no router answered
  kExitFaults = 4,        // a settings file has faults
  kExitNotAvailable = 5,  // the verb is not available yet
};

// Values of the flags that verbs take.
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

// One line of the help, and the function that carries it out.
struct Verb {
  std::string_view noun;
  std::string_view verb;  // empty when the noun stands alone
  std::string_view arguments;
  std::string_view help;
  int (*run)(const OperatorClient& client, const VerbOptions& options,
             std::span<const std::string_view> arguments);
  std::size_t least_arguments = 0;
};

std::span<const Verb> AllVerbs();

}  // namespace hornbeamspool::ctl
