#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuscove::control {

/// Settings of a control node.
struct ControlOptions {
    /// Name of the VM, in log lines and as the holder of VM leases.
    std::string name = "control";
    /// Listens for workers and operators.
    base::Endpoint listen { "127.0.0.1", 8090 };
    /// Port of the connections between our own nodes, the same on all of them.
    std::uint16_t internalPort = 7060;
    /// Addresses of some control nodes.
    std::vector<base::Endpoint> seeds;
    /// The whole system starts for the first time.
    bool isFirstStart = false;
    std::string dataFolder = "./crocuscove-data";
    /// Voters that are kept while enough nodes are up.
    std::uint32_t votersWanted = 3;
    /// The platform's interface for VMs; not set without one.
    std::optional<base::Endpoint> vmInterface;
    /// Listener of the metrics; not set for none.
    std::optional<base::Endpoint> metricsListen;
    /// File descriptors that the process may use.
    std::uint32_t maxDescriptors = 4096;
    /// How long tasks run on without contact to the leader.
    base::Milliseconds taskLease { 4'000 };
    /// The longest lease that workers grant, whatever the deadline of an order.
    base::Milliseconds maxTaskLease { 10'000 };
    /// How long after it was sent a worker may carry out an order that got no answer.
    base::Milliseconds maxOrderDelay { 12'000 };
    /// How long the state of a finished job can be asked for.
    base::Milliseconds keepFinishedJobs { 130'000 };
    /// Orders of two leaders for one VM must be this far apart.
    base::Milliseconds vmLease { 3'000 };
    base::LogLevel logLevel = base::LogLevel::Info;
    /// Log lines of one event in one second; 0 for no limit.
    std::uint32_t logLinesPerEvent = 30;
};

std::vector<base::Setting> controlSettings(ControlOptions& options);

/// Runs until SIGTERM or SIGINT. Throws base::Error when the node can't run.
void runControl(const ControlOptions& options);

} // namespace crocuscove::control
