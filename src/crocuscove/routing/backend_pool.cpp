#include "crocuscove/routing/backend_pool.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace crocuscove::routing {
namespace {

/// Weight of the newest attempt in the exponential moving averages of a backend server.
constexpr double resultWeight = 0.1;
/// At a failure rate of 1, the load of a backend server counts 1 + errorPenalty times.
constexpr double errorPenalty = 8.0;
constexpr double maxRunTimeRatio = 4.0;
/// Number of steps in which slow start raises the limit.
constexpr int slowStartSteps = 8;

/// Returns the weighted load of a backend server after one more request. Lower is better.
double score(const PooledBackend& backend)
{
    const double load = static_cast<double>(backend.inFlight + 1) / static_cast<double>(backend.limit);
    return load * (1.0 + errorPenalty * backend.errorRate) * backend.runTimeRatio;
}

bool wasTried(const TriedBackends& tried, const PooledBackend& backend)
{
    return std::ranges::find(tried, backend.id, &TriedBackend::id) != tried.end();
}

bool sharesDomain(const TriedBackends& tried, const PooledBackend& backend, document::FailureDomain domain)
{
    return std::ranges::any_of(tried, [&](const auto& other) {
        const bool sameCentre = other.dataCentre == backend.view.dataCentre;
        return sameCentre && (domain == document::FailureDomain::DataCentre || other.rack == backend.view.rack);
    });
}

} // namespace

BackendPool::BackendPool(const DispatcherOptions& options)
    : m_options(options)
{
}

void BackendPool::updateBackends(base::MonotonicTime now, const std::vector<BackendView>& views)
{
    std::set<base::BackendId> unlisted;
    for (const auto& [id, backend] : m_backends) {
        unlisted.insert(unlisted.end(), id);
    }
    for (const auto& view : views) {
        unlisted.erase(view.backend);
        auto& backend = m_backends[view.backend];
        if (backend.view.incarnation != view.incarnation) {
            backend.errorRate = 0.0;
            backend.runTimeRatio = 1.0;
        }
        backend.id = view.backend;
        backend.view = view;
        backend.isListed = true;
        refresh(now, backend);
    }
    for (const auto& id : unlisted) {
        auto& backend = m_backends.at(id);
        backend.isListed = false;
        refresh(now, backend);
        eraseIfUnused(backend);
    }
}

void BackendPool::updateSlots(base::MonotonicTime now, const std::vector<SlotLimit>& limits)
{
    for (auto& [id, backend] : m_backends) {
        backend.slots = { id };
    }
    for (const auto& limit : limits) {
        if (const auto known = m_backends.find(limit.backend); known != m_backends.end()) {
            known->second.slots = limit;
        }
    }
    for (auto& [id, backend] : m_backends) {
        refresh(now, backend);
    }
}

void BackendPool::advance(base::MonotonicTime now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        refresh(now, m_backends.at(m_deadlines.begin()->second));
    }
}

std::optional<base::MonotonicTime> BackendPool::nextDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
}

std::uint32_t BackendPool::limitAt(base::MonotonicTime now, const PooledBackend& backend) const
{
    const auto& slots = backend.slots;
    if (slots.incarnation != 0 && slots.incarnation != backend.view.incarnation) {
        return 0;
    }
    auto limit = now < slots.deadline ? slots.limit : slots.limitAfterDeadline;
    limit = std::min({ limit, backend.view.slots, backend.view.connections });
    if (backend.view.phase != BackendPhase::SlowStart || limit == 0) {
        return limit;
    }
    const auto passed = std::max(now - backend.view.slowStartSince, base::Microseconds(0));
    const double ramp
        = static_cast<double>(passed.count()) / static_cast<double>(base::Microseconds(m_options.slowStart).count());
    return std::clamp(static_cast<std::uint32_t>(std::ceil(limit * std::min(ramp, 1.0))), 1U, limit);
}

std::optional<base::MonotonicTime> BackendPool::nextChange(base::MonotonicTime now, const PooledBackend& backend) const
{
    std::optional<base::MonotonicTime> next;
    const auto consider = [&](base::MonotonicTime moment) {
        if (moment > now && (!next || moment < *next)) {
            next = moment;
        }
    };
    if (!backend.isListed) {
        return next;
    }
    consider(backend.view.leaseDeadline);
    if (backend.slots.deadline != base::MonotonicTime::max()) {
        consider(backend.slots.deadline);
    }
    if (backend.view.phase == BackendPhase::SlowStart && now < backend.view.slowStartSince + m_options.slowStart) {
        consider(now + base::Microseconds(m_options.slowStart) / slowStartSteps);
    }
    return next;
}

void BackendPool::refresh(base::MonotonicTime now, PooledBackend& backend)
{
    const auto& view = backend.view;
    if (backend.isUsable) {
        m_usableSlots -= backend.limit;
        --m_usableBackends;
    }
    const bool isLeased = backend.isListed && now < view.leaseDeadline;
    backend.isUsable = isLeased && (view.phase == BackendPhase::InService || view.phase == BackendPhase::SlowStart);
    backend.limit = isLeased ? limitAt(now, backend) : 0;
    if (backend.isUsable) {
        m_usableSlots += backend.limit;
        ++m_usableBackends;
    }
    if (isLeased && view.phase == BackendPhase::Probing) {
        m_probing.insert(backend.id);
    } else {
        m_probing.erase(backend.id);
    }
    if (backend.nextRefresh) {
        m_deadlines.erase({ *backend.nextRefresh, backend.id });
    }
    backend.nextRefresh = nextChange(now, backend);
    if (backend.nextRefresh) {
        m_deadlines.insert({ *backend.nextRefresh, backend.id });
    }
    updateFreeList(backend);
}

void BackendPool::updateFreeList(PooledBackend& backend)
{
    const bool isLocal = backend.view.dataCentre == m_options.dataCentre;
    const bool isFree = backend.isUsable && backend.inFlight < backend.limit;
    if (backend.freeListIndex && (!isFree || isLocal != backend.isLocal)) {
        removeFromFree(backend);
    }
    if (isFree && !backend.freeListIndex) {
        auto& list = isLocal ? m_localFree : m_remoteFree;
        backend.isLocal = isLocal;
        backend.freeListIndex = list.size();
        list.push_back(&backend);
    }
}

void BackendPool::removeFromFree(PooledBackend& backend)
{
    auto& list = backend.isLocal ? m_localFree : m_remoteFree;
    list[*backend.freeListIndex] = list.back();
    list[*backend.freeListIndex]->freeListIndex = backend.freeListIndex;
    list.pop_back();
    backend.freeListIndex.reset();
}

void BackendPool::eraseIfUnused(PooledBackend& backend)
{
    if (!backend.isListed && backend.inFlight == 0) {
        m_backends.erase(base::BackendId(backend.id));
    }
}

void BackendPool::acquire(PooledBackend& backend)
{
    ++backend.inFlight;
    updateFreeList(backend);
}

void BackendPool::release(PooledBackend& backend)
{
    --backend.inFlight;
    updateFreeList(backend);
    eraseIfUnused(backend);
}

void BackendPool::recordResult(PooledBackend& backend, bool hasFailed, double runTimeRatio)
{
    backend.errorRate += resultWeight * ((hasFailed ? 1.0 : 0.0) - backend.errorRate);
    if (!hasFailed) {
        const double bounded = std::clamp(runTimeRatio, 1.0 / maxRunTimeRatio, maxRunTimeRatio);
        backend.runTimeRatio += resultWeight * (bounded - backend.runTimeRatio);
    }
}

PooledBackend* BackendPool::choose(base::Random& random) const
{
    const auto& list = m_localFree.empty() ? m_remoteFree : m_localFree;
    if (list.empty()) {
        return nullptr;
    }
    const auto pick = [&] { return list[random() % list.size()]; };
    auto* first = pick();
    auto* second = pick();
    return score(*second) < score(*first) ? second : first;
}

PooledBackend* BackendPool::chooseUntried(const TriedBackends& tried, document::FailureDomain domain) const
{
    PooledBackend* best = nullptr;
    const auto rank
        = [&](const PooledBackend& backend) { return std::pair(sharesDomain(tried, backend, domain), score(backend)); };
    for (const auto* list : { &m_localFree, &m_remoteFree }) {
        for (auto* backend : *list) {
            if (!wasTried(tried, *backend) && (best == nullptr || rank(*backend) < rank(*best))) {
                best = backend;
            }
        }
    }
    return best;
}

PooledBackend* BackendPool::chooseProbe(base::MonotonicTime now)
{
    for (const auto& id : m_probing) {
        auto& backend = m_backends.at(id);
        if (backend.inFlight == 0 && backend.limit > 0 && now < backend.view.leaseDeadline) {
            return &backend;
        }
    }
    return nullptr;
}

bool BackendPool::hasUntried(const TriedBackends& tried) const
{
    const auto triedUsable = std::ranges::count_if(tried, [this](const auto& each) {
        const auto known = m_backends.find(each.id);
        return known != m_backends.end() && known->second.isUsable;
    });
    return m_usableBackends > static_cast<std::size_t>(triedUsable);
}

std::vector<BackendUsage> BackendPool::usage() const
{
    std::vector<BackendUsage> usage;
    for (const auto& [id, backend] : m_backends) {
        usage.push_back({ id, backend.inFlight, backend.limit });
    }
    return usage;
}

} // namespace crocuscove::routing
