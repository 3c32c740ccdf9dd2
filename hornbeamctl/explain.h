// Explains the outcome of one request from the logs of several processes.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamspool::ctl {

// Returns the value of `key` in a line of key=value pairs; empty when absent.
std::string_view LogValue(std::string_view line, std::string_view key);

// Returns the log lines of `request` and the latest earlier lines of its VM on
// the request's dependencies (configuration, store, upstream and budget),
// sorted by time and followed by a line `cause: CODE: TEXT`. Empty when no line
// names the request. Each line must start with a timestamp that sorts as text.
std::vector<std::string> Explain(std::string_view request,
                                 std::span<const std::string> lines);

}  // namespace hornbeamspool::ctl
