#pragma once

#include "cluster.h"
#include "crocuscove/base/log.h"
#include "crocuscove/base/work_pacer.h"
#include "crocuscove/control/control_options.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/http/http_client.h"
#include "pool_mover.h"
#include "vm_directory.h"
#include "wave_runner.h"
#include "work_times.h"

#include <memory>
#include <string>

namespace crocuscove::control {

/// What the leader does with VMs: maintenance waves, and moves between pools.
class FleetManager {
public:
    /// `isHeld` tells whether room is held on a worker for a long-running task.
    FleetManager(http::EventLoop& loop, const ControlOptions& options, const base::Log& log, Cluster& cluster,
        const jobs::RunTimes& runTimes, WorkTimes& workTimes, const SessionFinder& findSession,
        const WorkerPredicate& isHeld);

    /// Tells whether the VM of a worker is about to be taken away, so that nothing new starts there.
    [[nodiscard]] bool isReserved(const std::string& workerId) const;
    /// Tells whether the VM of a worker still waits for its maintenance.
    [[nodiscard]] bool isDue(const std::string& workerId) const;

    void addArrival(const jobs::Job& job);

private:
    /// There only with an interface of the platform.
    struct Parts {
        Parts(http::HttpClient& client, const ControlOptions& options, const base::Log& log, Cluster& cluster,
            const SessionFinder& findSession, const WorkerPredicate& isHeld);

        VmDirectory directory;
        WaveRunner waves;
        PoolMover moves;
    };

    void tick();

    Cluster& m_cluster;
    const jobs::RunTimes& m_runTimes;
    WorkTimes& m_workTimes;
    http::HttpClient m_client;
    base::WorkPacer m_pacer;
    std::unique_ptr<Parts> m_parts;
    http::Timer m_timer;
};

} // namespace crocuscove::control
