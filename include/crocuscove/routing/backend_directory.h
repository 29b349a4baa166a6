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
    /// Time within which every entry node learns that a backend server leaves.
    base::Milliseconds leavingPropagation { 2000 };
    /// Failed attempts in a row that eject a backend server.
    std::uint32_t failuresToEject = 5;
    /// Moving average of failed attempts that ejects a backend server, once resultsToJudge attempts have ended.
    double failureRateToEject = 0.5;
    std::uint32_t resultsToJudge = 20;
    /// Restarts and returns after an expired lease, within flapWindow, that eject a backend server.
    std::uint32_t flapsToEject = 3;
    base::Milliseconds flapWindow { 30000 };
    /// First ejection time. It doubles with each ejection that follows a failed probe.
    base::Milliseconds ejection { 1000 };
    base::Milliseconds maxEjection { 60000 };
    /// Answered probes that return a backend server to service.
    std::uint32_t probesToReturn = 3;
    base::Milliseconds slowStart { 10000 };
    /// Largest share of a service's backend servers that is ejected at once.
    double maxEjectedShare = 0.5;
    /// Time for which the incarnation of an expired backend server is remembered.
    base::Milliseconds memory { 600000 };
    /// Bound on known backend servers.
    std::size_t maxBackends = 25000;
};

enum class MergeReason {
    Added,
    Renewed,
    /// A new incarnation replaced the known one.
    Restarted,
    StaleIncarnation,
    StaleSequence,
    /// The directory holds maxBackends.
    DirectoryFull,
    /// The backend server is known under another service.
    OtherService,
    /// No slot, connection or lease time, or no endpoint.
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
    /// The views of the service changed; give them to its dispatcher.
    bool hasChanged = false;
    /// Leaving was learned just now; gossip it at once.
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

/// A backend server changed its phase. An expired one has no phase and is no longer listed.
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
    /// Some entry node may not have learned yet that it leaves.
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

/// Backend servers of all services as this entry node knows them. Pure: the caller gives the time.
class BackendDirectory {
public:
    explicit BackendDirectory(DirectoryOptions options = {});

    /// Takes an announcement that a backend server made to this node, and assigns its sequence.
    MergeResult announce(base::MonotonicTime now, Announcement announcement);
    /// Takes an announcement that another entry node gossiped.
    MergeResult merge(base::MonotonicTime now, const Announcement& announcement);
    /// Takes the end of an attempt, for ejection and return.
    std::vector<PhaseChange> observe(base::MonotonicTime now, const base::BackendId& backend, AttemptEnd end);
    /// Expires leases and ends ejections and slow starts.
    std::vector<PhaseChange> tick(base::MonotonicTime now);
    [[nodiscard]] std::optional<base::MonotonicTime> nextDeadline() const;

    /// Backend servers of the service whose lease runs, leaving and ejected ones included.
    [[nodiscard]] std::vector<BackendView> views(const base::ServiceId& service) const;
    /// Announcements to gossip, with the lease left at `now`.
    [[nodiscard]] std::vector<Announcement> announcements(base::MonotonicTime now) const;
    [[nodiscard]] std::optional<Announcement> announcement(
        base::MonotonicTime now, const base::BackendId& backend) const;
    /// Tells whether a leaving backend server may stop. `inFlightHere` are this node's requests at it.
    [[nodiscard]] StopReason mayStop(
        base::MonotonicTime now, const base::BackendId& backend, std::uint32_t inFlightHere) const;

private:
    struct Entry {
        Announcement latest;
        base::MonotonicTime leaseDeadline;
        base::MonotonicTime leavingSince;
        BackendPhase phase = BackendPhase::InService;
        base::MonotonicTime phaseSince;
        /// End of the phase, when time ends it.
        std::optional<base::MonotonicTime> phaseUntil;
        std::uint32_t failuresInRow = 0;
        std::uint32_t probesAnswered = 0;
        std::uint32_t ejections = 0;
        double failureRate = 0.0;
        std::uint32_t results = 0;
    };
    /// What is remembered of a backend server beyond its lease.
    struct History {
        std::uint64_t incarnation = 0;
        base::MonotonicTime forgetAt;
        std::vector<base::MonotonicTime> flaps;
    };
    using Due = std::pair<base::MonotonicTime, base::BackendId>;

    MergeResult accept(base::MonotonicTime now, const Announcement& announcement);
    MergeReason mergeReason(const Announcement& announcement) const;
    void startPhase(base::MonotonicTime now, Entry& entry, MergeReason reason);
    void setPhase(base::MonotonicTime now, Entry& entry, BackendPhase phase) const;
    [[nodiscard]] bool mayEject(const base::ServiceId& service) const;
    bool noteFlap(base::MonotonicTime now, const base::BackendId& backend);
    std::optional<PhaseChange> judge(base::MonotonicTime now, Entry& entry, bool hasFailed) const;
    std::optional<PhaseChange> endPhase(base::MonotonicTime now, Entry& entry) const;
    void schedule(const Entry& entry);
    void unschedule(const Entry& entry);
    void expire(base::MonotonicTime now, const base::BackendId& backend);

    DirectoryOptions m_options;
    std::optional<base::MonotonicTime> m_firstMerge;
    std::map<base::BackendId, Entry> m_entries;
    std::map<base::ServiceId, std::set<base::BackendId>> m_services;
    /// Holds at most maxBackends entries.
    std::map<base::BackendId, History> m_history;
    std::set<Due> m_due;
    std::set<Due> m_forget;
};

} // namespace crocuscove::routing
