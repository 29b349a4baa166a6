#pragma once

#include "crocuscove/routing/dispatcher.h"

#include <memory>

namespace crocuscove::bench {

/// What the driver asks of a router of one service on one entry node: the real dispatcher, or the baseline.
class Router {
public:
    virtual ~Router() = default;
    virtual routing::Actions arrive(base::MonotonicTime now, const routing::Request& request) = 0;
    virtual routing::Actions finish(base::MonotonicTime now, const routing::AttemptResult& result) = 0;
    virtual routing::Actions updateBackends(base::MonotonicTime now, const std::vector<routing::BackendView>& views)
        = 0;
    virtual routing::Actions updateSlots(base::MonotonicTime now, const std::vector<routing::SlotLimit>& limits) = 0;
    virtual routing::Actions tick(base::MonotonicTime now) = 0;
    [[nodiscard]] virtual std::optional<base::MonotonicTime> nextDeadline() const = 0;
    [[nodiscard]] virtual std::size_t queued() const = 0;
    [[nodiscard]] virtual std::vector<routing::BackendUsage> usage() const = 0;
};

std::unique_ptr<Router> dispatcherRouter(
    const document::ServiceDocument& document, const routing::DispatcherOptions& options, std::uint64_t seed);

/// Round robin over the backend servers with a free slot, one FIFO, no refusal but for a full queue, no retries.
std::unique_ptr<Router> baselineRouter(const document::ServiceDocument& document);

} // namespace crocuscove::bench
