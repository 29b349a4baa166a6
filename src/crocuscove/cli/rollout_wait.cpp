#include "crocuscove/cli/rollout_wait.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <thread>

namespace crocuscove::cli {

namespace {

constexpr base::Milliseconds pollInterval { 200 };

struct Progress {
    bool isDone = false;
    std::string text;
};

bool isBehind(const NodeRollout& node, std::uint64_t revision) { return !node.isInForce || node.revision < revision; }

Progress describeRollout(const Rollout& rollout, std::uint64_t revision)
{
    std::vector<std::string> behind;
    for (const NodeRollout& node : rollout.nodes) {
        if (isBehind(node, revision)) {
            behind.push_back(node.node);
        }
    }
    const bool isDone = rollout.revision >= revision && behind.empty() && !rollout.nodes.empty();
    const std::string waiting = behind.empty() ? "" : fmt::format(", waiting for {}", fmt::join(behind, ", "));
    return { isDone,
        fmt::format(
            "in force on {} of {} nodes{}", rollout.nodes.size() - behind.size(), rollout.nodes.size(), waiting) };
}

/// A failed poll is progress too: the node that was asked may be restarting.
Progress poll(const ServerOptions& options, const base::ServiceId& service, std::uint64_t revision)
{
    try {
        return describeRollout(fetchRollout(options, service), revision);
    } catch (const CommandError& error) {
        return { false, error.what() };
    }
}

} // namespace

void waitForRollout(
    const ServerOptions& options, const base::ServiceId& service, std::uint64_t revision, Console& console)
{
    const base::MonotonicTime deadline = base::monotonicNow() + options.timeout;
    std::string lastText;
    while (true) {
        ServerOptions remaining = options;
        remaining.timeout = std::max(
            base::Milliseconds(1), std::chrono::duration_cast<base::Milliseconds>(deadline - base::monotonicNow()));
        const Progress progress = poll(remaining, service, revision);
        if (progress.text != lastText) {
            console.note(fmt::format("{} revision {}: {}", service.text(), revision, progress.text));
            lastText = progress.text;
        }
        if (progress.isDone) {
            return;
        }
        if (base::monotonicNow() + pollInterval >= deadline) {
            throw CommandError(ExitCode::Failed,
                fmt::format("{}: revision {} is accepted but was not in force on every node after {} ms: {}",
                    service.text(), revision, options.timeout.count(), progress.text),
                { { "service", service.text() }, { "revision", revision }, { "inForce", false } });
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace crocuscove::cli
