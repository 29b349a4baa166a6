#pragma once

#include "cluster.h"
#include "crocuscove/base/log.h"
#include "crocuscove/base/work_pacer.h"
#include "crocuscove/control/control_options.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/http/http_client.h"
#include "crocuscove/jobs/run_times.h"
#include "crocuscove/jobs/scheduler.h"
#include "crocuscove/process/metrics.h"
#include "fleet_manager.h"
#include "pacer.h"
#include "queue_head_reporter.h"
#include "work_times.h"
#include "worker_session.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuscove::control {

/// What the serving leader does: a session with each worker, the choice of what starts where, and the VMs. It lives
/// from the moment this node serves as the leader until it no longer does.
class Leader {
public:
    Leader(http::EventLoop& loop, const ControlOptions& options, const base::Log& log, process::Metrics& metrics,
        Cluster& cluster);
    ~Leader();
    Leader(const Leader&) = delete;
    Leader& operator=(const Leader&) = delete;

    void onApplied(const std::vector<jobs::Command>& commands);
    /// Handles the message that a worker, or an earlier incarnation of it, leaves.
    void checkLeave(jobs::WorkerNumber worker);
    /// Asks who answers at the address of a worker.
    void askHolder(jobs::WorkerNumber worker, std::function<void(AddressHolder)> callback) const;
    /// Returns how long ago the clock of a worker showed `clockMs`, or nothing if its clock isn't known.
    [[nodiscard]] std::optional<base::Milliseconds> reportAge(jobs::WorkerNumber worker, std::int64_t clockMs) const;

    /// Counts the jobs of a queue that have no due time, and no task that runs or has achieved anything: an assigned
    /// task counts as waiting until its worker has confirmed the start.
    [[nodiscard]] std::uint64_t countWaitingJobs(const jobs::Queue& queue) const;
    /// Proposes the record of a crash that a worker's report proves, if it does. To be called before the report is
    /// proposed.
    void recordCrashBefore(const jobs::WorkerReport& report);

private:
    struct PastContact {
        jobs::WorkerContact contact;
        base::MonotonicTime endedAt;
    };

    [[nodiscard]] bool hasStarted(const jobs::Job& job) const;
    void tick();
    /// Gives the orders that follow from applied commands; none stand for a snapshot that was installed.
    void followLog(const std::vector<jobs::Command>& commands);
    /// Ends the sessions of workers that the commands removed or replaced, and begins those of new ones.
    void syncSessions(const std::vector<jobs::Command>& commands);
    /// `session` may be the end of the sessions.
    void endSession(std::map<jobs::WorkerNumber, std::unique_ptr<WorkerSession>>::iterator session);
    /// Adds the workers whose orders may have changed with an applied command.
    void collectChanged(const jobs::Command& command, std::set<jobs::WorkerNumber>& changed);
    void collectTasksOfEndedJob(jobs::JobId job, std::set<jobs::WorkerNumber>& changed) const;
    /// `service` and `restartedMs` are as in jobs::RecordConfirmedCrash.
    void proposeCrash(jobs::RecordCrash crash, const std::string& service, std::int64_t restartedMs);
    /// Tells whether the worker of a session crashed with its rack.
    [[nodiscard]] bool isRackCrash(const WorkerSession& session) const;
    /// Remembers when a worker was last there whose session ends.
    void rememberContact(const WorkerSession& session);
    void logCrash(const jobs::RecordConfirmedCrash& record);
    /// Logs which tasks of a crash wait for it, or for silent workers.
    void logPausedTasks(const jobs::RecordCrash& crash);
    void logExcusedCrashes(const jobs::TaskKey& task);
    void onCrashApplied(const jobs::RecordCrash& crash, std::set<jobs::WorkerNumber>& changed);
    void onAcceptApplied(jobs::JobId id);
    void onGiveUpApplied(const jobs::GiveUpDeadlyTask& command, std::set<jobs::WorkerNumber>& changed);
    /// Proposes the end of jobs with deadly tasks, one batch at a time.
    void giveUpDeadlyTasks(base::MonotonicTime now);
    void schedulePlan();
    void plan();
    /// Remembers for which tasks room is held, and logs what is new.
    void recordHeldRooms(const std::vector<jobs::HeldRoom>& held);
    [[nodiscard]] jobs::SchedulingView schedulingView(base::MonotonicTime now) const;
    void forgetJobs();
    SessionHooks sessionHooks();
    void proposeCommand(jobs::Command command, std::function<void(bool)> callback);

    http::EventLoop& m_loop;
    const ControlOptions& m_options;
    const base::Log& m_log;
    process::Metrics& m_metrics;
    Cluster& m_cluster;
    http::HttpClient m_client;
    WorkTimes m_workTimes;
    std::map<jobs::WorkerNumber, std::unique_ptr<WorkerSession>> m_sessions;
    /// The highest number that has had a session.
    jobs::WorkerNumber m_lastWorker = 0;
    /// Workers whose crash was logged and counted, as confirmed or not: the session and a report may both tell of it.
    std::set<std::pair<jobs::WorkerNumber, bool>> m_loggedCrashes;
    /// The last contacts with workers that are no longer there and had not left, the earliest first.
    std::deque<PastContact> m_pastContacts;
    jobs::RunTimes m_runTimes;
    FleetManager m_fleet;
    Pacer m_pacer;
    base::WorkPacer m_planPacer;
    QueueHeadReporter m_queueHeads;
    /// The workers on which the last plan holds room, by the task that it is held for.
    std::map<jobs::TaskKey, jobs::WorkerNumber> m_heldRooms;
    bool m_isPlanning = false;
    bool m_isGivingUp = false;
    bool m_isPlanWanted = false;
    base::MonotonicTime m_tickDueAt;
    base::MonotonicTime m_forgetAt;
    http::Timer m_planTimer;
    http::Timer m_tickTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuscove::control
