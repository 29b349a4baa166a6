#pragma once

#include <string>
#include <vector>

namespace crocuscove::server {

/// Runs a node until SIGTERM or SIGINT and returns its exit code. `arguments` are the flags after `serve`.
/// Throws base::InvalidInput for a bad setting and base::Error when the node cannot start.
int runServer(const std::vector<std::string>& arguments);

/// Returns the help text of the settings of `serve`.
std::string describeServerSettings();

} // namespace crocuscove::server
