#pragma once

#include "crocuscove/routing/announcement.h"
#include "crocuscove/routing/backend_view.h"
#include "crocuscove/routing/dispatcher.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace crocuscove::routing {

struct DirectoryOptions {
    /// Upper bound on the time until every entry node knows that a backend server is leaving.
    base::Milliseconds leavingPropagation { 2000 };
    /// Consecutive failed attempts after which a backend server is ejected.
    std::uint32_t consecutiveFailuresToEject = 5;
    /// Moving average of the failure rate, 0 to 1, at which a backend server is ejected. It applies once
    /// minAttemptsForFailureRate attempts have ended in the current phase.
    double failureRateToEject = 0.5;
    std::uint32_t minAttemptsForFailureRate = 20;
    /// Restarts and returns after an expired lease, counted within flapWindow, at which a backend server is ejected.
    std::uint32_t flapsToEject = 3;
    base::Milliseconds flapWindow { 30000 };
    /// Duration of the first ejection. It doubles with each further ejection until the backend server has returned to
    /// full service.
    base::Milliseconds baseEjectionTime { 1000 };
    base::Milliseconds maxEjectionTime { 60000 };
    /// Successful probes after which a backend server returns to service with slow start.
    std::uint32_t successfulProbesToReturn = 3;
    base::Milliseconds slowStart { 10000 };
    /// Largest share of a service's backend servers, 0 to 1, that may be ejected or probing at the same time.
    double maxEjectedShare = 0.5;
    /// Time for which the incarnation and the restarts of an expired backend server are kept.
    base::Milliseconds historyRetention { 600000 };
    /// Maximum number of backend servers in the directory.
    std::size_t maxBackends = 25000;
};

enum class MergeReason {
    Added,
    Renewed,
    /// A new incarnation replaced the known one.
    Restarted,
    StaleIncarnation,
    StaleSequence,
    /// The directory already holds maxBackends entries.
    DirectoryFull,
    /// The backend server is registered for another service.
    OtherService,
    /// A required field is empty or zero: ids, endpoint, slots, connections or lease time.
    Invalid,
};

inline constexpr auto mergeReasonNames = base::enumNames<MergeReason>({
    { MergeReason::Added, "added" },
    { MergeReason::Renewed, "renewed" },
    { MergeReason::Restarted, "restarted" },
    { MergeReason::StaleIncarnation, "stale-incarnation" },
    { MergeReason::StaleSequence, "stale-sequence" },
    { MergeReason::DirectoryFull, "directory-full" },
    { MergeReason::OtherService, "other-service" },
    { MergeReason::Invalid, "invalid" },
});

struct MergeResult {
    MergeReason reason = MergeReason::Invalid;
    /// The views of the service changed and must be passed to its dispatcher.
    bool hasChanged = false;
    /// This announcement is the first to report that the backend server is leaving. It should be gossiped at once.
    bool isNewlyLeaving = false;
};

enum class PhaseReason {
    LeaseExpired,
    Failing,
    Flapping,
    EjectionOver,
    ProbeFailed,
    ProbesAnswered,
    SlowStartOver,
};

inline constexpr auto phaseReasonNames = base::enumNames<PhaseReason>({
    { PhaseReason::LeaseExpired, "lease-expired" },
    { PhaseReason::Failing, "failing" },
    { PhaseReason::Flapping, "flapping" },
    { PhaseReason::EjectionOver, "ejection-over" },
    { PhaseReason::ProbeFailed, "probe-failed" },
    { PhaseReason::ProbesAnswered, "probes-answered" },
    { PhaseReason::SlowStartOver, "slow-start-over" },
});

/// A change of a backend server's phase. `phase` is empty when the lease expired and the server was removed.
struct PhaseChange {
    base::ServiceId service;
    base::BackendId backend;
    std::optional<BackendPhase> phase;
    PhaseReason reason = PhaseReason::LeaseExpired;

    bool operator==(const PhaseChange&) const = default;
};

enum class StopReason {
    MayStop,
    NotLeaving,
    InFlight,
    /// Some entry nodes may not know yet that the backend server is leaving.
    Propagating,
    UnknownBackend,
};

inline constexpr auto stopReasonNames = base::enumNames<StopReason>({
    { StopReason::MayStop, "may-stop" },
    { StopReason::NotLeaving, "not-leaving" },
    { StopReason::InFlight, "in-flight" },
    { StopReason::Propagating, "propagating" },
    { StopReason::UnknownBackend, "unknown-backend" },
});

/// The backend servers of all services that this entry node knows, with their leases and health. It reads no clock:
/// the caller passes the current time.
class BackendDirectory {
public:
    explicit BackendDirectory(DirectoryOptions options = {});

    /// Applies an announcement that a backend server sent to this node, and assigns its sequence number.
    MergeResult announce(base::MonotonicTime now, Announcement announcement);
    /// Applies an announcement received by gossip from another entry node.
    MergeResult merge(base::MonotonicTime now, const Announcement& announcement);
    /// Records the result of an attempt, which may eject a backend server or return it to service.
    std::vector<PhaseChange> observe(base::MonotonicTime now, const base::BackendId& backend, AttemptEnd end);
    /// Removes backend servers with expired leases, and ends ejections and slow starts that are due.
    std::vector<PhaseChange> tick(base::MonotonicTime now);
    [[nodiscard]] std::optional<base::MonotonicTime> nextDeadline() const;

    /// The listed backend servers of the service, including those that are leaving or ejected.
    [[nodiscard]] std::vector<BackendView> views(const base::ServiceId& service) const;
    /// All announcements with an unexpired lease, with the remaining lease time at `now`, ready to be gossiped.
    [[nodiscard]] std::vector<Announcement> announcements(base::MonotonicTime now) const;
    [[nodiscard]] std::optional<Announcement> announcement(
        base::MonotonicTime now, const base::BackendId& backend) const;
    /// Returns whether a leaving backend server may stop. `inFlightHere` is the number of requests that this node has
    /// in flight there.
    [[nodiscard]] StopReason mayStop(
        base::MonotonicTime now, const base::BackendId& backend, std::uint32_t inFlightHere) const;

private:
    struct Entry {
        Announcement latest;
        base::MonotonicTime leaseDeadline;
        base::MonotonicTime leavingSince;
        BackendPhase phase = BackendPhase::InService;
        base::MonotonicTime phaseSince;
        /// End of the phase, for phases of limited duration.
        std::optional<base::MonotonicTime> phaseUntil;
        std::uint32_t failuresInRow = 0;
        std::uint32_t probesAnswered = 0;
        std::uint32_t ejections = 0;
        double failureRate = 0.0;
        std::uint32_t results = 0;
    };
    /// Data about a backend server that is kept after its lease has expired.
    struct History {
        std::uint64_t incarnation = 0;
        base::MonotonicTime expiresAt;
        std::vector<base::MonotonicTime> flaps;
    };
    using Deadline = std::pair<base::MonotonicTime, base::BackendId>;

    MergeResult accept(base::MonotonicTime now, const Announcement& announcement);
    MergeReason mergeReason(const Announcement& announcement) const;
    void startPhase(base::MonotonicTime now, Entry& entry, MergeReason reason);
    void setPhase(base::MonotonicTime now, Entry& entry, BackendPhase phase) const;
    [[nodiscard]] bool mayEject(const base::ServiceId& service) const;
    bool recordFlap(base::MonotonicTime now, const base::BackendId& backend);
    std::optional<PhaseChange> evaluateAttempt(base::MonotonicTime now, Entry& entry, bool hasFailed) const;
    std::optional<PhaseChange> endPhase(base::MonotonicTime now, Entry& entry) const;
    void schedule(const Entry& entry);
    void unschedule(const Entry& entry);
    void expire(base::MonotonicTime now, const base::BackendId& backend);

    DirectoryOptions m_options;
    std::optional<base::MonotonicTime> m_firstMerge;
    std::map<base::BackendId, Entry> m_entries;
    std::map<base::ServiceId, std::set<base::BackendId>> m_services;
    /// Holds at most DirectoryOptions::maxBackends entries.
    std::map<base::BackendId, History> m_history;
    /// The earlier of the end of the lease and the end of the phase, for each backend server.
    std::set<Deadline> m_deadlines;
    std::set<Deadline> m_historyExpiries;
};

} // namespace crocuscove::routing
