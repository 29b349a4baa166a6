#pragma once

#include "cluster.h"
#include "crocuscove/base/log.h"
#include "crocuscove/control/control_options.h"
#include "crocuscove/http/http_client.h"
#include "crocuscove/jobs/long_running_places.h"
#include "platform/vm_codec.h"
#include "pool_mover.h"
#include "vm_directory.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuscove::control {

/// Carries out maintenance waves on the VMs through the platform's interface.
class WaveRunner {
public:
    WaveRunner(http::HttpClient& client, const VmDirectory& directory, const ControlOptions& options,
        const base::Log& log, Cluster& cluster, SessionFinder findSession, WorkerPredicate isHeld);
    ~WaveRunner() { *m_isAlive = false; }
    WaveRunner(const WaveRunner&) = delete;
    WaveRunner& operator=(const WaveRunner&) = delete;

    /// Tells whether the VM of a worker is about to be taken away, so that nothing new starts there.
    [[nodiscard]] bool isReserved(const std::string& workerId) const { return m_reservedWorkers.contains(workerId); }
    /// Tells whether a VM is being emptied or under maintenance.
    [[nodiscard]] bool isDraining(const std::string& vm) const { return m_drains.contains(vm); }
    /// Tells whether the VM of a worker still waits for its maintenance.
    [[nodiscard]] bool isDue(const std::string& workerId) const { return m_dueWorkers.contains(workerId); }

    /// Takes the next steps of the open waves. VMs for which `isMoving` holds are left alone.
    void advance(base::MonotonicTime now, const std::function<bool(const std::string& vm)>& isMoving);

private:
    /// A VM that is being emptied or under maintenance.
    struct Drain {
        std::uint64_t wave = 0;
        std::string workerId;
        /// The service of its worker; empty if there was none.
        std::string service;
        base::MonotonicTime startedAt;
        /// Its long-running tasks have no place elsewhere and come back with the VM.
        bool isWithoutPlace = false;
        bool isCalling = false;
        /// An order got no answer, and may have been carried out.
        bool isUncertain = false;
        /// The platform has confirmed the order; the VM counts as down until it is known to be back.
        std::optional<base::MonotonicTime> orderedAt;
        /// A list that was asked for after the confirmation shows the VM away.
        bool wasAway = false;
        base::MonotonicTime callAgainAt;

        [[nodiscard]] bool mayBeDown() const { return orderedAt || isCalling || isUncertain; }
    };

    /// A VM of an open wave that the list may lack.
    struct Absence {
        /// Its worker when it was last listed; empty before.
        std::string lastWorkerId;
        /// Lists in a row that lacked it.
        std::uint32_t listings = 0;
    };

    /// Returns the service of a worker; empty if there is no such worker.
    [[nodiscard]] std::string serviceOf(const std::string& workerId) const;
    /// Returns the places of the long-running tasks of a service, for this round.
    jobs::LongRunningPlaces& placesOf(const std::string& service, base::MonotonicTime now);
    /// Decides whether a worker may be closed for new tasks.
    jobs::Closing close(const std::string& workerId, base::MonotonicTime now);
    /// Gives up drains whose VMs are needed by long-running tasks that wait.
    void reopenNeeded(base::MonotonicTime now);
    /// Opens the VM's worker for the long-running tasks of its service if one that waits has a place only there.
    bool reopenIfNeeded(const std::string& vm, const Drain& drain, base::MonotonicTime now);
    /// Removes the workers of VMs whose maintenance has begun by the list, and drops what is back.
    void settleOrdered();
    /// Takes note of what the list shows of a VM whose order was confirmed before the list was asked for.
    void observeOrdered(const std::string& vm, Drain& drain);
    /// Tells whether the VM of a confirmed order is back from its maintenance, or must be by now.
    [[nodiscard]] bool isBack(const std::string& vm, const Drain& drain) const;
    /// Gives up drains of VMs that now run another worker, or empties that one where an order may be carried out yet.
    void followWorkers(base::MonotonicTime now);
    void advanceWave(
        const jobs::Wave& wave, base::MonotonicTime now, const std::function<bool(const std::string& vm)>& isMoving);
    /// Counts the lists that left out VMs of open waves.
    void countListings();
    [[nodiscard]] bool isLongAbsent(const std::string& vm) const;
    [[nodiscard]] std::ptrdiff_t countLongRunning(const jobs::Worker& worker) const;
    /// Returns the VMs that may be emptied next: those with the fewest long-running tasks first, then the idlest.
    [[nodiscard]] std::vector<std::string> drainCandidates(
        const jobs::Wave& wave, const std::function<bool(const std::string& vm)>& isMoving) const;
    void startDrains(
        const jobs::Wave& wave, base::MonotonicTime now, const std::function<bool(const std::string& vm)>& isMoving);
    /// Empties a VM and orders its maintenance while fewer than the wave allows are `down`, which it then counts.
    void advanceDrain(
        const jobs::Wave& wave, const std::string& vm, Drain& drain, std::size_t& down, base::MonotonicTime now);
    /// Takes over VMs whose order was committed in an earlier term and has no recorded answer.
    void adoptOrdered(base::MonotonicTime now);
    /// Returns the worker that a listed or absent VM of an open wave runs or ran last; empty if none is known.
    [[nodiscard]] std::string lastWorkerId(const std::string& vm) const;
    /// Counts the VMs of a wave that are down, or may be soon by an order that was sent.
    [[nodiscard]] std::size_t downVms(const jobs::Wave& wave) const;
    /// Stops what may be stopped; returns true when nothing is left that must be kept. Long-running tasks are stopped
    /// last, once the VM can be ordered and all else has ended, so that they are away as briefly as possible.
    bool empty(const Drain& drain, bool mayOrder, base::MonotonicTime now);
    [[nodiscard]] bool mayInterrupt(const jobs::TaskKey& key) const;
    void order(const jobs::Wave& wave, const std::string& vm, Drain& drain);
    void sendOrder(std::uint64_t wave, const std::string& vm, bool mayOrder);
    void onOrdered(std::uint64_t wave, const std::string& vm, const http::ExchangeResult& result);
    [[nodiscard]] bool isOrdered(std::uint64_t wave, const std::string& vm) const;
    /// Records that an order won't be carried out, unless an earlier one still may be.
    void withdrawOrder(std::uint64_t wave, const std::string& vm, const Drain& drain);
    void recordStep(std::uint64_t wave, const std::string& vm, jobs::WaveVmPhase phase);
    void updateReserved();

    http::HttpClient& m_client;
    const VmDirectory& m_directory;
    const ControlOptions& m_options;
    const base::Log& m_log;
    Cluster& m_cluster;
    SessionFinder m_findSession;
    /// Tells whether room is held on a worker for a long-running task.
    WorkerPredicate m_isHeld;
    std::map<std::string, Drain> m_drains;
    /// Until when VMs whose drain was given up stay open.
    std::map<std::string, base::MonotonicTime> m_openUntil;
    std::map<std::string, Absence> m_absences;
    std::optional<base::MonotonicTime> m_countedListing;
    bool m_hasAdopted = false;
    /// By service; only during a round, in which the replicated state doesn't change.
    std::map<std::string, jobs::LongRunningPlaces> m_places;
    std::set<std::string> m_reservedWorkers;
    std::set<std::string> m_dueWorkers;
    /// Cleared at the end, for callbacks that come later.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuscove::control
