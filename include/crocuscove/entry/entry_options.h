#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuscove::entry {

/// Settings of an entry node, which takes the clients' requests.
struct EntryOptions {
    /// Name of the VM, in log lines.
    std::string name = "entry";
    base::Endpoint listen { "127.0.0.1", 8080 };
    /// Listener of the balancer's readiness check.
    base::Endpoint readyListen { "127.0.0.1", 8081 };
    /// Port of the connections to the control nodes.
    std::uint16_t internalPort = 7060;
    /// Addresses of some control nodes.
    std::vector<base::Endpoint> seeds;
    /// Listener of the metrics; not set for none.
    std::optional<base::Endpoint> metricsListen;
    /// How long the node may take to end after SIGTERM.
    base::Milliseconds stopTimeout { 6'000 };
    base::LogLevel logLevel = base::LogLevel::Info;
    /// Log lines of one event in one second; 0 for no limit.
    std::uint32_t logLinesPerEvent = 30;
};

std::vector<base::Setting> entrySettings(EntryOptions& options);

/// Runs until SIGTERM or SIGINT and the requests in progress have ended. Throws base::Error when the node can't run.
void runEntry(const EntryOptions& options);

} // namespace crocuscove::entry
