#pragma once

#include "crocuscove/cli/admin_api.h"
#include "crocuscove/cli/console.h"

namespace crocuscove::cli {

/// Waits until `revision` or a later one is in force on every node. Notes progress on standard error. Throws
/// CommandError when the timeout passes first.
void waitForRollout(
    const ServerOptions& options, const base::ServiceId& service, std::uint64_t revision, Console& console);

} // namespace crocuscove::cli
