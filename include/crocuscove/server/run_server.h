#pragma once

#include "crocuscove/server/server_options.h"

namespace crocuscove::server {

/// Runs a node until SIGTERM or SIGINT and its graceful stop. Throws base::Error when the node cannot start or go on.
void runServer(const ServerOptions& options);

} // namespace crocuscove::server
