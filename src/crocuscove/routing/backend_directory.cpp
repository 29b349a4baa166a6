#include "crocuscove/routing/backend_directory.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::routing {
namespace {

/// Weight of the newest attempt in the exponential moving average of the failure rate.
constexpr double failureRateWeight = 0.1;

bool isValid(const Announcement& announcement)
{
    return !announcement.service.empty() && !announcement.backend.empty() && !announcement.host.empty()
        && announcement.port != 0 && announcement.slots != 0 && announcement.connections != 0
        && announcement.leaseRemainingMs != 0;
}

base::MonotonicTime leaseEnd(base::MonotonicTime now, const Announcement& announcement)
{
    return now + std::min(base::Milliseconds(announcement.leaseRemainingMs), announcementLease);
}

bool isOutOfService(BackendPhase phase) { return phase == BackendPhase::Ejected || phase == BackendPhase::Probing; }

} // namespace

BackendDirectory::BackendDirectory(DirectoryOptions options)
    : m_options(options)
{
}

MergeResult BackendDirectory::announce(base::MonotonicTime now, Announcement announcement)
{
    const auto known = m_entries.find(announcement.backend);
    const bool isSameIncarnation
        = known != m_entries.end() && known->second.latest.incarnation == announcement.incarnation;
    announcement.sequence = isSameIncarnation ? known->second.latest.sequence + 1 : 1;
    announcement.leaseRemainingMs = static_cast<std::uint32_t>(announcementLease.count());
    return accept(now, announcement);
}

MergeResult BackendDirectory::merge(base::MonotonicTime now, const Announcement& announcement)
{
    return accept(now, announcement);
}

MergeReason BackendDirectory::mergeReason(const Announcement& announcement) const
{
    if (!isValid(announcement)) {
        return MergeReason::Invalid;
    }
    const auto known = m_entries.find(announcement.backend);
    if (known == m_entries.end()) {
        const auto history = m_history.find(announcement.backend);
        if (history != m_history.end() && announcement.incarnation < history->second.incarnation) {
            return MergeReason::StaleIncarnation;
        }
        return m_entries.size() < m_options.maxBackends ? MergeReason::Added : MergeReason::DirectoryFull;
    }
    const auto& latest = known->second.latest;
    if (announcement.incarnation < latest.incarnation) {
        return MergeReason::StaleIncarnation;
    }
    if (announcement.service != latest.service) {
        return MergeReason::OtherService;
    }
    if (announcement.incarnation > latest.incarnation) {
        return MergeReason::Restarted;
    }
    // Two entry nodes may assign the same sequence number to different announcements. On such a tie, Leaving wins.
    const bool isLeavingTieBreak = announcement.state == BackendState::Leaving && latest.state == BackendState::Serving;
    const bool isNewer
        = announcement.sequence > latest.sequence || (announcement.sequence == latest.sequence && isLeavingTieBreak);
    return isNewer ? MergeReason::Renewed : MergeReason::StaleSequence;
}

MergeResult BackendDirectory::accept(base::MonotonicTime now, const Announcement& announcement)
{
    MergeResult result { mergeReason(announcement) };
    const bool isAccepted = result.reason == MergeReason::Added || result.reason == MergeReason::Renewed
        || result.reason == MergeReason::Restarted;
    if (!isAccepted) {
        return result;
    }
    m_firstMerge = m_firstMerge.value_or(now);
    auto& entry = m_entries[announcement.backend];
    m_services[announcement.service].insert(announcement.backend);
    unschedule(entry);
    const auto previous = entry.latest;
    entry.latest = announcement;
    entry.leaseDeadline = leaseEnd(now, announcement);
    if (result.reason == MergeReason::Renewed && previous.state == BackendState::Leaving) {
        // Leaving is final for an incarnation, so that announcements received out of order can't undo it.
        entry.latest.state = BackendState::Leaving;
    }
    if (result.reason != MergeReason::Renewed) {
        startPhase(now, entry, result.reason);
    }
    const bool wasLeaving = result.reason == MergeReason::Renewed && previous.state == BackendState::Leaving;
    result.isNewlyLeaving = entry.latest.state == BackendState::Leaving && !wasLeaving;
    if (result.isNewlyLeaving) {
        entry.leavingSince = now;
    }
    // Every renewal extends the lease deadline, which is part of the view.
    result.hasChanged = true;
    schedule(entry);
    return result;
}

void BackendDirectory::startPhase(base::MonotonicTime now, Entry& entry, MergeReason reason)
{
    const auto& backend = entry.latest.backend;
    const auto history = m_history.find(backend);
    const bool isReturn = reason == MergeReason::Restarted || history != m_history.end();
    const bool isFlapping = isReturn && recordFlap(now, backend);
    const bool wasOutOfService = reason == MergeReason::Restarted && isOutOfService(entry.phase);
    const auto ejections = entry.ejections;
    Entry fresh;
    fresh.latest = entry.latest;
    fresh.leaseDeadline = entry.leaseDeadline;
    fresh.ejections = ejections;
    entry = fresh;
    if (isFlapping && mayEject(entry.latest.service)) {
        setPhase(now, entry, BackendPhase::Ejected);
        return;
    }
    if (wasOutOfService) {
        setPhase(now, entry, BackendPhase::Probing);
        return;
    }
    // Backend servers that this node learns of while it starts were in service already. With slow start, nearly all
    // of their capacity would be unused.
    const bool isNodeStarting = now < *m_firstMerge + announcementLease;
    setPhase(now, entry, isReturn || !isNodeStarting ? BackendPhase::SlowStart : BackendPhase::InService);
}

void BackendDirectory::setPhase(base::MonotonicTime now, Entry& entry, BackendPhase phase) const
{
    entry.phase = phase;
    entry.phaseSince = now;
    entry.phaseUntil.reset();
    entry.failuresInRow = 0;
    entry.probesAnswered = 0;
    entry.failureRate = 0.0;
    entry.results = 0;
    if (phase == BackendPhase::Ejected) {
        constexpr std::uint32_t maxDoublings = 16;
        const auto doublings = std::min(entry.ejections, maxDoublings);
        ++entry.ejections;
        entry.phaseUntil = now + std::min(m_options.baseEjectionTime * (1U << doublings), m_options.maxEjectionTime);
    } else if (phase == BackendPhase::SlowStart) {
        entry.phaseUntil = now + m_options.slowStart;
    } else if (phase == BackendPhase::InService) {
        entry.ejections = 0;
    }
}

bool BackendDirectory::mayEject(const base::ServiceId& service) const
{
    const auto& backends = m_services.at(service);
    const auto outOfService = std::ranges::count_if(
        backends, [this](const auto& backend) { return isOutOfService(m_entries.at(backend).phase); });
    return static_cast<double>(outOfService + 1) <= m_options.maxEjectedShare * static_cast<double>(backends.size());
}

bool BackendDirectory::recordFlap(base::MonotonicTime now, const base::BackendId& backend)
{
    if (m_history.size() >= m_options.maxBackends && !m_history.contains(backend)) {
        return false;
    }
    auto& history = m_history[backend];
    m_historyExpiries.erase({ history.expiresAt, backend });
    history.expiresAt = now + m_options.historyRetention;
    m_historyExpiries.insert({ history.expiresAt, backend });
    std::erase_if(history.flaps, [&](auto moment) { return moment + m_options.flapWindow < now; });
    history.flaps.push_back(now);
    return history.flaps.size() >= m_options.flapsToEject;
}

std::vector<PhaseChange> BackendDirectory::observe(
    base::MonotonicTime now, const base::BackendId& backend, AttemptEnd end)
{
    const auto known = m_entries.find(backend);
    if (known == m_entries.end() || end == AttemptEnd::Refused) {
        return {};
    }
    auto& entry = known->second;
    unschedule(entry);
    const auto change = evaluateAttempt(now, entry, end != AttemptEnd::Answered);
    schedule(entry);
    return change ? std::vector { *change } : std::vector<PhaseChange> {};
}

std::optional<PhaseChange> BackendDirectory::evaluateAttempt(
    base::MonotonicTime now, Entry& entry, bool hasFailed) const
{
    const auto changePhase = [&](BackendPhase phase, PhaseReason reason) {
        setPhase(now, entry, phase);
        return PhaseChange { entry.latest.service, entry.latest.backend, phase, reason };
    };
    if (entry.phase == BackendPhase::Ejected) {
        return std::nullopt;
    }
    if (entry.phase == BackendPhase::Probing) {
        if (hasFailed) {
            return changePhase(BackendPhase::Ejected, PhaseReason::ProbeFailed);
        }
        ++entry.probesAnswered;
        if (entry.probesAnswered < m_options.successfulProbesToReturn) {
            return std::nullopt;
        }
        return changePhase(BackendPhase::SlowStart, PhaseReason::ProbesAnswered);
    }
    ++entry.results;
    entry.failuresInRow = hasFailed ? entry.failuresInRow + 1 : 0;
    entry.failureRate += failureRateWeight * ((hasFailed ? 1.0 : 0.0) - entry.failureRate);
    const bool isFailing = entry.failuresInRow >= m_options.consecutiveFailuresToEject
        || (entry.results >= m_options.minAttemptsForFailureRate && entry.failureRate >= m_options.failureRateToEject);
    if (!isFailing || !mayEject(entry.latest.service)) {
        return std::nullopt;
    }
    return changePhase(BackendPhase::Ejected, PhaseReason::Failing);
}

std::vector<PhaseChange> BackendDirectory::tick(base::MonotonicTime now)
{
    std::vector<PhaseChange> changes;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto backend = m_deadlines.begin()->second;
        auto& entry = m_entries.at(backend);
        if (entry.leaseDeadline <= now) {
            changes.push_back({ entry.latest.service, backend, std::nullopt, PhaseReason::LeaseExpired });
            expire(now, backend);
            continue;
        }
        unschedule(entry);
        if (const auto change = endPhase(now, entry)) {
            changes.push_back(*change);
        }
        schedule(entry);
    }
    while (!m_historyExpiries.empty() && m_historyExpiries.begin()->first <= now) {
        m_history.erase(m_historyExpiries.begin()->second);
        m_historyExpiries.erase(m_historyExpiries.begin());
    }
    return changes;
}

std::optional<PhaseChange> BackendDirectory::endPhase(base::MonotonicTime now, Entry& entry) const
{
    const bool wasEjected = entry.phase == BackendPhase::Ejected;
    const auto phase = wasEjected ? BackendPhase::Probing : BackendPhase::InService;
    setPhase(now, entry, phase);
    const auto reason = wasEjected ? PhaseReason::EjectionOver : PhaseReason::SlowStartOver;
    return PhaseChange { entry.latest.service, entry.latest.backend, phase, reason };
}

void BackendDirectory::expire(base::MonotonicTime now, const base::BackendId& backend)
{
    const auto known = m_entries.find(backend);
    unschedule(known->second);
    if (m_history.size() < m_options.maxBackends || m_history.contains(backend)) {
        auto& history = m_history[backend];
        m_historyExpiries.erase({ history.expiresAt, backend });
        history.expiresAt = now + m_options.historyRetention;
        m_historyExpiries.insert({ history.expiresAt, backend });
        history.incarnation = known->second.latest.incarnation;
    }
    const auto service = m_services.find(known->second.latest.service);
    service->second.erase(backend);
    if (service->second.empty()) {
        m_services.erase(service);
    }
    m_entries.erase(known);
}

void BackendDirectory::schedule(const Entry& entry)
{
    m_deadlines.insert(
        { std::min(entry.leaseDeadline, entry.phaseUntil.value_or(entry.leaseDeadline)), entry.latest.backend });
}

void BackendDirectory::unschedule(const Entry& entry)
{
    m_deadlines.erase(
        { std::min(entry.leaseDeadline, entry.phaseUntil.value_or(entry.leaseDeadline)), entry.latest.backend });
}

std::optional<base::MonotonicTime> BackendDirectory::nextDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
}

std::vector<BackendView> BackendDirectory::views(const base::ServiceId& service) const
{
    std::vector<BackendView> views;
    const auto backends = m_services.find(service);
    if (backends == m_services.end()) {
        return views;
    }
    views.reserve(backends->second.size());
    for (const auto& backend : backends->second) {
        const auto& entry = m_entries.at(backend);
        const auto& latest = entry.latest;
        const bool isLeaving = latest.state == BackendState::Leaving;
        views.push_back({ backend, { latest.host, latest.port }, latest.incarnation, latest.dataCentre, latest.rack,
            latest.slots, latest.connections, isLeaving ? BackendPhase::Leaving : entry.phase, entry.phaseSince,
            entry.leaseDeadline });
    }
    return views;
}

std::vector<Announcement> BackendDirectory::announcements(base::MonotonicTime now) const
{
    std::vector<Announcement> all;
    all.reserve(m_entries.size());
    for (const auto& [backend, entry] : m_entries) {
        if (auto one = announcement(now, backend)) {
            all.push_back(std::move(*one));
        }
    }
    return all;
}

std::optional<Announcement> BackendDirectory::announcement(
    base::MonotonicTime now, const base::BackendId& backend) const
{
    const auto known = m_entries.find(backend);
    if (known == m_entries.end() || known->second.leaseDeadline <= now) {
        return std::nullopt;
    }
    auto copy = known->second.latest;
    const auto left = std::chrono::duration_cast<base::Milliseconds>(known->second.leaseDeadline - now);
    copy.leaseRemainingMs = static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
    return copy;
}

StopReason BackendDirectory::mayStop(
    base::MonotonicTime now, const base::BackendId& backend, std::uint32_t inFlightHere) const
{
    const auto known = m_entries.find(backend);
    if (known == m_entries.end()) {
        return StopReason::UnknownBackend;
    }
    const auto& entry = known->second;
    if (entry.latest.state != BackendState::Leaving) {
        return StopReason::NotLeaving;
    }
    if (now < entry.leavingSince + m_options.leavingPropagation) {
        return StopReason::Propagating;
    }
    // The count in the announcement comes from the backend server and covers the requests of all entry nodes.
    return inFlightHere != 0 || entry.latest.inFlight != 0 ? StopReason::InFlight : StopReason::MayStop;
}

} // namespace crocuscove::routing
