#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/jobs/fleet_state.h"
#include "worker_session.h"

#include <map>
#include <memory>

namespace crocuscove::control {

/// Slows tasks that use leftover time while they disturb tasks that serve on the same worker.
class Pacer {
public:
    void adjust(const jobs::FleetState& state,
        const std::map<jobs::WorkerNumber, std::unique_ptr<WorkerSession>>& sessions, base::MonotonicTime now);

private:
    struct Pace {
        std::uint32_t percent = 100;
        base::MonotonicTime changedAt;
    };

    std::map<jobs::WorkerNumber, Pace> m_paces;
};

} // namespace crocuscove::control
