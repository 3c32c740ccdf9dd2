// The story of one request, from the logs of several processes.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamspool::ctl {

// The value of `key` in a line of key=value pairs; empty when absent.
std::string_view LogValue(std::string_view line, std::string_view key);

// Lines about the request in the order of their times, those about what it
// depended on at that time, and last its cause in words. Empty when no line
// names the request.
std::vector<std::string> Explain(std::string_view request,
                                 std::span<const std::string> lines);

}  // namespace hornbeamspool::ctl
