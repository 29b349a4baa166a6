#pragma once

#include "crocuscove/server/server_options.h"

namespace crocuscove::server {

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully. Throws base::Error when the node can't start or
/// hits an unrecoverable error.
void runServer(const ServerOptions& options);

} // namespace crocuscove::server
