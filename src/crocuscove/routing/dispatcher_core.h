#pragma once

#include "crocuscove/routing/backend_pool.h"
#include "crocuscove/routing/dispatcher.h"
#include "crocuscove/routing/fair_queue.h"
#include "crocuscove/routing/run_times.h"

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace crocuscove::routing {

inline constexpr std::size_t workClasses = 3;

/// Measured run times and work class of one request kind. Admitted requests share ownership of it, so it outlives a
/// change of the document.
struct KindStatistics {
    document::WorkClass declared = document::WorkClass::Short;
    document::WorkClass learned = document::WorkClass::Short;
    RunTimes runTimes;
};

/// The flows and admitted requests of one client team at this entry node.
struct ClientAccount {
    base::TeamId client;
    std::array<Flow, workClasses> flows;
    /// Number of requests queued or in flight.
    std::uint32_t requests = 0;
};

enum class Stage {
    Queued,
    Running,
    Backoff,
};

/// Whether any attempt of a request may have been executed. The values are ordered.
enum class ExecutionState {
    NotStarted,
    MayHaveRun,
    HasRun,
};

/// Returns the outcome to report to the client for a request in this execution state.
Outcome outcomeOf(ExecutionState executionState);

struct PendingRequest {
    RequestId id = 0;
    base::MonotonicTime deadline;
    /// Latest time at which the request may start while the run time of its kind is unknown.
    base::MonotonicTime latestStart;
    std::shared_ptr<KindStatistics> kind;
    ClientAccount* account = nullptr;
    document::WorkClass workClass = document::WorkClass::Short;
    bool isIdempotent = false;
    bool isStraggler = false;
    Stage stage = Stage::Queued;
    ExecutionState executionState = ExecutionState::NotStarted;
    std::uint32_t attempts = 0;
    AttemptId attempt = 0;
    PooledBackend* backend = nullptr;
    base::MonotonicTime started;
    /// End of the backoff, or the time at which a running request becomes a straggler.
    std::optional<base::MonotonicTime> timer;
    /// Expected run time in seconds, with which its flow is charged.
    double cost = 0.0;
    TriedBackends tried;
};

class Dispatcher::Core {
public:
    Core(document::ServiceDocument document, DispatcherOptions options, base::Random random);

    void arrive(base::MonotonicTime now, const Request& request);
    void finish(base::MonotonicTime now, const AttemptResult& result);
    void cancel(base::MonotonicTime now, RequestId request);
    void updateDocument(document::ServiceDocument document);
    BackendPool& pool() { return m_pool; }
    /// Applies due timers and dispatches queued requests. Returns the actions since the last call.
    Actions advance(base::MonotonicTime now);

    [[nodiscard]] std::optional<base::MonotonicTime> nextDeadline() const;
    [[nodiscard]] std::size_t queued() const { return m_requests.size() - m_attempts.size(); }
    [[nodiscard]] std::size_t inFlight() const { return m_attempts.size(); }

private:
    enum class TimerKind { Deadline, Request };
    using Timer = std::tuple<base::MonotonicTime, TimerKind, RequestId>;

    // dispatcher_admission.cpp
    [[nodiscard]] std::optional<RefuseReason> refusal(
        base::MonotonicTime now, const Request& request, base::MonotonicTime deadline) const;
    [[nodiscard]] base::Microseconds estimateWait(const KindStatistics& kind, const base::TeamId& client) const;
    [[nodiscard]] base::Milliseconds retryAfter(const KindStatistics& kind, const base::TeamId& client) const;
    [[nodiscard]] std::size_t queueBound(document::WorkClass workClass) const;
    [[nodiscard]] double shareOf(const base::TeamId& client) const;
    ClientAccount& accountOf(const base::TeamId& client);
    void releaseAccount(ClientAccount& account);
    void eraseIdleAccounts();
    [[nodiscard]] bool hasOutstandingCharge(const ClientAccount& account) const;

    // dispatcher_scheduling.cpp
    void enqueue(base::MonotonicTime now, PendingRequest& request);
    void dispatchAll(base::MonotonicTime now);
    [[nodiscard]] std::optional<document::WorkClass> nextClass(base::MonotonicTime now) const;
    [[nodiscard]] bool isStarved(
        base::MonotonicTime now, document::WorkClass workClass, double floor, base::Milliseconds age) const;
    [[nodiscard]] bool willMissDeadline(base::MonotonicTime now, const PendingRequest& request) const;
    bool dispatchOne(base::MonotonicTime now, PendingRequest& request);
    void start(base::MonotonicTime now, PendingRequest& request, PooledBackend& backend, DispatchReason reason);
    void applyTimers(base::MonotonicTime now);
    void applyTimer(base::MonotonicTime now, PendingRequest& request);
    void setTimer(PendingRequest& request, std::optional<base::MonotonicTime> moment);

    // dispatcher_attempts.cpp
    void endAttempt(base::MonotonicTime now, PendingRequest& request, AttemptEnd end);
    void abortAttempt(base::MonotonicTime now, PendingRequest& request, AbortReason reason);
    void releaseSlot(base::MonotonicTime now, PendingRequest& request);
    void recordRunTime(PendingRequest& request, base::Microseconds runTime) const;
    bool retry(base::MonotonicTime now, PendingRequest& request);
    void scheduleRetry(base::MonotonicTime now, PendingRequest& request);
    void expire(base::MonotonicTime now, PendingRequest& request);
    void conclude(PendingRequest& request, Outcome outcome, ConcludeReason reason, AttemptId attempt);
    /// Refuses the request, or concludes it if an earlier attempt may have been executed.
    void refuseOrConclude(PendingRequest& request, RefuseReason reason);
    void removeRequest(PendingRequest& request);

    FairQueue& queueOf(document::WorkClass workClass) { return m_queues[static_cast<std::size_t>(workClass)]; }
    [[nodiscard]] const FairQueue& queueOf(document::WorkClass workClass) const
    {
        return m_queues[static_cast<std::size_t>(workClass)];
    }
    std::size_t& runningOf(document::WorkClass workClass) { return m_running[static_cast<std::size_t>(workClass)]; }
    [[nodiscard]] std::size_t runningOf(document::WorkClass workClass) const
    {
        return m_running[static_cast<std::size_t>(workClass)];
    }
    static Flow& flowOf(const PendingRequest& request)
    {
        return request.account->flows[static_cast<std::size_t>(request.workClass)];
    }
    /// Returns the slots that long and patient work may occupy together.
    [[nodiscard]] std::size_t longSlots() const;
    /// Returns longSlots, reduced further when the recent demand of short work exceeds its reserve.
    [[nodiscard]] std::size_t currentLongSlots(base::MonotonicTime now) const;
    void recordShortArrival(base::MonotonicTime now, const KindStatistics& kind);
    [[nodiscard]] double shortDemand(base::MonotonicTime now) const;

    document::ServiceDocument m_document;
    DispatcherOptions m_options;
    base::Random m_random;
    BackendPool m_pool;
    std::array<FairQueue, workClasses> m_queues;
    std::array<std::size_t, workClasses> m_running {};
    std::size_t m_stragglers = 0;
    std::unordered_map<RequestId, PendingRequest> m_requests;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    std::set<Timer> m_timers;
    std::map<std::string, std::shared_ptr<KindStatistics>> m_kinds;
    /// Statistics by the index of the request kind in the document.
    std::vector<std::shared_ptr<KindStatistics>> m_kindsInForce;
    std::map<base::TeamId, ClientAccount> m_accounts;
    /// Accounts without requests that are kept because their flows have been charged beyond the virtual time.
    std::deque<base::TeamId> m_idleAccounts;
    std::uint64_t m_lastSerial = 0;
    AttemptId m_lastAttempt = 0;
    double m_retryTokens;
    /// Moving average of the slots needed by arriving short work, as of its last arrival.
    double m_shortDemand = 0.0;
    base::MonotonicTime m_shortDemandSince;
    Actions m_actions;
};

} // namespace crocuscove::routing
