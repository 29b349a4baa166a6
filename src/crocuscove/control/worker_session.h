#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/time.h"
#include "crocuscove/control/control_options.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/http/http_client.h"
#include "crocuscove/jobs/fleet_state.h"
#include "crocuscove/jobs/lease_clock.h"
#include "crocuscove/jobs/rack_crash.h"
#include "crocuscove/jobs/start_plan.h"
#include "late_starts.h"
#include "platform/worker_codec.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace crocuscove::control {

/// What a session needs of the leader.
struct SessionHooks {
    std::function<void(jobs::Command, std::function<void(bool isApplied)>)> propose;
    /// Tells of a run that ended as done after `runMs`.
    std::function<void(const jobs::TaskKey&, std::int64_t runMs)> onRunTime;
    /// Tells how an order to start a task ended.
    std::function<void(std::string_view outcome, base::MonotonicTime sentAt)> onOrder;
    /// Tells whether orders may be sent now.
    std::function<bool()> mayOrder;
    /// Tells whether the worker's VM is about to be taken away by us.
    std::function<bool(const std::string& workerId)> isReserved;
    /// Proposes the record of a crash. The later incarnation of the worker started at the Unix time `restartedMs`; 0 if
    /// that isn't known.
    std::function<void(jobs::RecordCrash, std::int64_t restartedMs)> onCrash;
};

/// Who answers at the address of a worker.
enum class AddressHolder {
    /// The incarnation that is known.
    KnownIncarnation,
    /// Another incarnation of the worker's id.
    OtherIncarnation,
    /// Another worker.
    OtherWorker,
    /// No answer, or none that tells.
    Unknown,
};

std::string_view addressHolderName(AddressHolder holder);

/// How a worker has done lately, for the choice of workers.
struct WorkerHealth {
    /// Share of its last runs that ended as failed, between 0 and 1.
    double failureShare = 0;
    /// Orders without an answer since the last answer.
    std::uint32_t unanswered = 0;
};

/// The leader's dealings with one incarnation of a worker: it renews the lease, starts and stops what the replicated
/// state says, and takes note of ends. Everything it knows can be found again by the next leader.
class WorkerSession {
public:
    WorkerSession(http::EventLoop& loop, http::HttpClient& client, const ControlOptions& options, const base::Log& log,
        const jobs::FleetState& state, const jobs::Worker& worker, std::uint64_t term, SessionHooks hooks);
    ~WorkerSession();
    WorkerSession(const WorkerSession&) = delete;
    WorkerSession& operator=(const WorkerSession&) = delete;

    /// Gives the orders that follow from the replicated state. To be called when the worker's tasks changed.
    void update();

    /// Handles the message that the worker leaves, which may be a delayed one of an earlier incarnation. The worker is
    /// removed once it no longer answers.
    void checkLeave();

    /// Asks who answers at the worker's address. The question extends no lease. `callback` runs also after the end of
    /// the session.
    void askHolder(std::function<void(AddressHolder)> callback) const;

    /// Handles a later incarnation of the worker's id: nothing is started any more, and starts that this one may not
    /// have answered are settled there by a stop. Counts the crash. To be called before the later incarnation is
    /// recorded.
    void noteLaterIncarnation(std::int64_t incarnation);

    /// Tells whether the worker has answered lately, so that it may be given tasks.
    [[nodiscard]] bool isUsable(base::MonotonicTime now) const;
    [[nodiscard]] const WorkerHealth& health() const { return m_health; }
    [[nodiscard]] const jobs::LeaseClock& clock() const { return m_clock; }
    /// Tells whether a task is assigned to the worker that uses leftover time, so that its pace may have to change.
    [[nodiscard]] bool hasPaceableTask() const { return m_hasPaceableTask; }
    /// What runs on the worker by its last answer.
    [[nodiscard]] const std::vector<platform::RunningTask>& running() const { return m_running; }

    /// Tells whether an assigned task is known to have started here.
    [[nodiscard]] bool hasStarted(const jobs::TaskKey& task) const;
    /// Returns what the end of this incarnation without notice counts against, or nothing if the end was planned, or
    /// isn't confirmed and nothing can have been executing that may be given up.
    [[nodiscard]] std::optional<jobs::RecordCrash> crash(bool isConfirmed) const;
    [[nodiscard]] const std::string& service() const { return m_service; }
    [[nodiscard]] const std::string& rack() const { return m_rack; }
    /// Returns since when the worker is silent, or nothing if its end was planned.
    [[nodiscard]] std::optional<jobs::WorkerContact> contact() const;
    /// Returns how long it takes, in milliseconds, until the run of an assigned task has executed for the probation
    /// time; 0 if it has, or executes no more.
    [[nodiscard]] std::int64_t unprovenMs(const jobs::TaskKey& task, base::MonotonicTime now) const;

    /// Returns for how long, in milliseconds, the run of an assigned task has executed as far as this leader knows.
    [[nodiscard]] std::int64_t ranMs(const jobs::TaskKey& task, base::MonotonicTime now) const;

    /// Tells whether a run works at full pace by the worker's last answer, and was not told to stop since.
    [[nodiscard]] bool isAtWork(const jobs::TaskKey& task, std::uint32_t run) const;

    /// Sets the share of its time that a running task works.
    void pace(const jobs::TaskKey& task, std::uint32_t run, std::uint32_t percent);
    /// Tells whether the last pace of a task has had the time to show in an answer.
    [[nodiscard]] bool mayPace(const jobs::TaskKey& task, base::MonotonicTime now) const;
    /// Stops a running task, whose checkpoint the next run resumes from.
    void stop(const jobs::TaskKey& task, std::uint32_t run, std::string_view reason);

private:
    enum class RemovalCause {
        /// Its lease has ended; it may be cut off and come back.
        Silent,
        /// Another incarnation has answered.
        Restarted,
        /// It said that it leaves, and no longer answers.
        Left,
    };
    enum class OrderPhase {
        /// Not sent, or to be sent again.
        Unsent,
        Sending,
        /// The worker has the run.
        Started,
        /// The worker will not start this run any more; its end may still be listed.
        Settled,
    };
    struct Order {
        std::uint32_t run = 0;
        OrderPhase phase = OrderPhase::Unsent;
        /// When the phase became Started or Settled.
        base::MonotonicTime since {};
        base::MonotonicTime sendAgainAt {};
        bool isStopping = false;
        /// It is stopped until that is confirmed; a stop may have been carried out also without an answer.
        bool wasToldToStop = false;
        /// A start was sent, and may have been carried out also without an answer.
        bool wasSent = false;
        /// This leader's start was accepted; an earlier leader's run may be of any age.
        bool wasAccepted = false;
        /// A start of the run is on its way, whatever the phase has become meanwhile.
        bool isInFlight = false;
        /// Another incarnation was seen since a start was sent that it may have taken.
        bool mayBeOnOther = false;
        /// The worker has the run by an answer that names no incarnation, and no list of this one has confirmed it
        /// since.
        bool isUnproven = false;
        /// When the last answer to a start came.
        base::MonotonicTime answeredAt {};
        /// The clock of that answer is another incarnation's.
        bool isOther = false;
    };

    [[nodiscard]] const jobs::Worker* worker() const { return m_state.findWorker(m_number); }
    [[nodiscard]] platform::WorkerTarget target() const { return { m_id, m_fencingToken }; }
    /// Sends an order, unless it may not be sent any more when its connection is there, or `isWanted` no longer holds.
    void call(const http::HttpRequest& request, base::Milliseconds timeout,
        std::function<void(const http::ExchangeResult&)> callback, std::function<bool()> isWanted = nullptr);
    void renew();
    void scheduleRenew(base::Milliseconds pause);
    void onRenewed(const http::ExchangeResult& result, base::MonotonicTime sentAt);
    void onStatus(const platform::WorkerStatus& status, base::MonotonicTime sentAt);
    void onOtherIncarnation(const platform::WorkerStatus& status, base::MonotonicTime sentAt);
    /// Handles that a list of runs, or the answer to the question whether the worker has left, which is one, is of
    /// another incarnation.
    void noteListedIncarnation(std::int64_t incarnation);
    /// Handles that the worker's id has another incarnation now, which has confirmed nothing yet.
    void adoptIncarnation(std::int64_t incarnation);
    /// Records what the answer to a start tells of who has the run. Returns whether another incarnation gave it.
    bool noteStartAnswer(Order& order, const platform::OrderAnswer& answer, base::MonotonicTime sentAt);
    void recordEnds(const platform::WorkerStatus& status);
    void reconcile(const platform::WorkerStatus& status, base::MonotonicTime sentAt);
    /// Tells whether a start of the run may still be on its way, sent by this leader or an earlier one.
    [[nodiscard]] bool isUnsettled(const jobs::TaskKey& task, std::uint32_t run) const;
    [[nodiscard]] std::vector<jobs::UnsettledStart> findUnsettledStarts() const;
    [[nodiscard]] bool isInFlight(const jobs::TaskKey& task, std::uint32_t run) const;
    /// Returns the starts of assigned tasks that another incarnation may have carried out, or may yet, when this one's
    /// lease has ended.
    [[nodiscard]] std::vector<jobs::UnsettledStart> findHeldStarts(base::MonotonicTime now) const;
    /// Remembers that a start got no answer, also for the next leaders.
    void noteUnanswered(const jobs::TaskKey& task, base::MonotonicTime sentAt);
    /// Proposes the record of what is known of a start without an answer.
    void recordUnanswered(const jobs::TaskKey& task);
    void recordUnsettledStarts();
    /// Proposes that these starts are unsettled and all other tasks of the worker are free.
    void proposeUnsettled(std::vector<jobs::UnsettledStart> starts);
    [[nodiscard]] bool hasRecordedUnsettledStart() const;
    /// Tells whether the later incarnation has confirmed the stops, and lists none of the runs that were to be stopped.
    [[nodiscard]] bool areStartsSettled(const platform::WorkerStatus& status, base::MonotonicTime sentAt) const;
    [[nodiscard]] bool isSuspected(const jobs::TaskKey& key) const;
    /// Stops the runs whose starts are recorded as unsettled, until that is confirmed.
    void settleStarts();
    /// The incarnation that orders are meant for.
    [[nodiscard]] std::int64_t intendedIncarnation() const { return m_laterIncarnation.value_or(m_incarnation); }
    void onSilence();
    /// Returns when the lease of a run has certainly ended that another incarnation may have: because a start of the
    /// task got no answer, or because the run is unsettled and that incarnation was seen. Past if there is no such run.
    [[nodiscard]] base::MonotonicTime otherLeaseExpiry(const jobs::TaskKey& task, std::uint32_t run) const;
    /// Counts an order that got no answer.
    void countUnanswered();
    void probeLeave();
    void onLeaveProbed(const http::ExchangeResult& result);
    /// Frees the tasks whose lease has ended, when others may run on under that of another incarnation.
    void freeAllBut(std::vector<jobs::UnsettledStart> held);
    void remove(std::string_view reason, RemovalCause cause);
    [[nodiscard]] jobs::Command removal(RemovalCause cause) const;
    /// Tells whether a row of a list names a run with a higher number than any that was assigned.
    [[nodiscard]] bool isNeverOrdered(const platform::RunningTask& running) const;
    /// Tells whether a run may have been executing when the worker crashed.
    [[nodiscard]] bool mayHaveExecuted(const jobs::TaskKey& key) const;
    /// Tells whether a run that may have been executing may have done so for less than the probation time.
    [[nodiscard]] bool mayBeInProbation(const jobs::TaskKey& key) const;
    void release(const jobs::TaskKey& key, std::uint32_t run, std::string_view reason);
    [[nodiscard]] jobs::ClaimPhase claimPhase(const jobs::TaskKey& key, std::uint32_t run) const;
    /// Returns the starts that still fit, if what is assigned exceeds the worker's capacity.
    [[nodiscard]] std::optional<jobs::StartPlan> planOverCapacity() const;
    void updateOrder(
        const jobs::TaskKey& key, const jobs::Job& job, Order& order, const std::optional<jobs::StartPlan>& plan);
    void start(const jobs::TaskKey& key, Order& order);
    [[nodiscard]] bool isStartWanted(const jobs::TaskKey& key, std::uint32_t run) const;
    /// `wasSentBefore` tells whether the start had been sent already when it was sent at `sentAt`.
    void onStartAnswer(const jobs::TaskKey& key, std::uint32_t run, const http::ExchangeResult& result,
        base::MonotonicTime sentAt, bool wasSentBefore);
    void stopOrder(const jobs::TaskKey& key, Order& order, std::string_view reason);
    /// Returns whether the worker has confirmed a stop, and writes a line if it hasn't.
    [[nodiscard]] bool isConfirmed(
        const jobs::TaskKey& task, std::uint32_t run, const http::ExchangeResult& result) const;
    void armRetry();

    http::EventLoop& m_loop;
    http::HttpClient& m_client;
    const ControlOptions& m_options;
    const base::Log& m_log;
    const jobs::FleetState& m_state;
    SessionHooks m_hooks;
    jobs::WorkerNumber m_number;
    std::string m_id;
    std::int64_t m_incarnation;
    std::string m_service;
    std::string m_rack;
    base::MonotonicTime m_knownSince;
    /// One of the tasks that were assigned when the worker answered last has lost runs with other workers.
    bool m_hasSuspectedTask = false;
    /// The latest incarnation of the same id that has answered or reported.
    std::optional<std::int64_t> m_laterIncarnation;
    bool m_isRecordingUnsettled = false;
    /// The end of this incarnation, whose tasks were freed, is recorded as a crash that isn't confirmed.
    bool m_isCrashRecorded = false;
    /// Orders for an earlier incarnation may have given this one the longest lease.
    bool m_mayHoldLongestLease;
    /// The runs that were assigned when the session began; an earlier leader may have sent their starts.
    std::map<jobs::TaskKey, std::uint32_t> m_inheritedRuns;
    base::Endpoint m_endpoint;
    std::uint64_t m_fencingToken;
    jobs::LeaseClock m_clock;
    /// When an order with a deadline was sent last. A later incarnation that got it, whose clock shows less, holds the
    /// longest lease.
    base::MonotonicTime m_grantedAt;
    /// The last answer to a renewal.
    std::optional<base::MonotonicTime> m_answeredAt;
    /// The last answer to a renewal, or to a start by this incarnation's clock.
    std::optional<base::MonotonicTime> m_aliveAt;
    /// When another incarnation was seen last, by its clock in the answer to a start or by its name. Nothing is started
    /// until a list that is requested later shows that this incarnation is there.
    std::optional<base::MonotonicTime> m_otherSeenAt;
    /// The first order without an answer since the last answer to a renewal.
    std::optional<base::MonotonicTime> m_silentSince;
    bool m_isRenewing = false;
    bool m_isRecording = false;
    bool m_isRemoving = false;
    bool m_hasLeft = false;
    /// The worker may have left; it gets no starts until it has answered what was sent after `m_leaveProbeAt`.
    bool m_mayHaveLeft = false;
    base::MonotonicTime m_leaveProbeAt;
    bool m_isProbing = false;
    /// A worker that doesn't answer until then has left.
    base::MonotonicTime m_leaveWindowEnd;
    http::Timer m_leaveTimer;
    std::map<jobs::TaskKey, Order> m_orders;
    LateStarts m_lateStarts;
    bool m_hasPaceableTask = false;
    std::uint32_t m_startsInFlight = 0;
    std::vector<platform::RunningTask> m_running;
    WorkerHealth m_health;
    std::map<jobs::TaskKey, base::MonotonicTime> m_pacedAt;
    http::Timer m_renewTimer;
    http::Timer m_retryTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuscove::control
