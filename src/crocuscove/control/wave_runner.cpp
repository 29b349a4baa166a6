#include "wave_runner.h"

#include "crocuscove/jobs/interruption.h"
#include "platform/json_fields.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocuscove::control {

namespace {

constexpr base::Milliseconds callTimeout { 2'000 };
constexpr base::Milliseconds callPause { 400 };
/// A VM that this many lists in a row have left out is ordered all the same: the platform refuses the order only if
/// there is no such VM.
constexpr std::uint32_t absentListings = 3;
/// Tasks that end by themselves get this long before the VM is taken.
constexpr base::Milliseconds drainPatience { 2'500 };
/// A VM whose long-running tasks have no place elsewhere is opened for them again unless it was ordered by then. Longer
/// than drainPatience, and so short that they run again within 6 s (RULES, LOST).
constexpr base::Milliseconds returnPatience { 4'000 };
/// VMs of one wave that are closed in a round. The others wait for the next one, so that a large wave doesn't hold the
/// loop.
constexpr std::size_t maxClosingsPerRound = 32;
/// A VM that is listed as up with its earlier worker so long after its order was confirmed had been maintained before,
/// and one that the list lacks is back or gone: maintenance takes 2 s on the users' installations, and half as much is
/// left for slow lists.
constexpr base::Milliseconds maxMaintenanceTime { 3'000 };
/// A VM whose drain was given up stays open for so long.
constexpr base::Milliseconds reopenedTime { 5'000 };

} // namespace

WaveRunner::WaveRunner(http::HttpClient& client, const VmDirectory& directory, const ControlOptions& options,
    const base::Log& log, Cluster& cluster, SessionFinder findSession, WorkerPredicate isHeld)
    : m_client(client)
    , m_directory(directory)
    , m_options(options)
    , m_log(log)
    , m_cluster(cluster)
    , m_findSession(std::move(findSession))
    , m_isHeld(std::move(isHeld))
{
}

void WaveRunner::advance(base::MonotonicTime now, const std::function<bool(const std::string& vm)>& isMoving)
{
    settleOrdered();
    followWorkers(now);
    countListings();
    if (!std::exchange(m_hasAdopted, true)) {
        adoptOrdered(now);
    }
    updateReserved();
    reopenNeeded(now);
    m_dueWorkers.clear();
    for (const auto& [id, wave] : m_cluster.state().waves()) {
        if (!wave.isDone()) {
            advanceWave(wave, now, isMoving);
        }
    }
    m_places.clear();
    updateReserved();
}

// The platform confirms an order also when it was carried out earlier, so that only the list shows whether the worker
// has ended. On standby a VM has none.
void WaveRunner::settleOrdered()
{
    const auto isListedAfter
        = [this](const Drain& drain) { return drain.orderedAt && *drain.orderedAt < *m_directory.askedAt(); };
    for (auto& [vm, drain] : m_drains) {
        if (isListedAfter(drain)) {
            observeOrdered(vm, drain);
        }
    }
    std::erase_if(
        m_drains, [&](const auto& entry) { return isListedAfter(entry.second) && isBack(entry.first, entry.second); });
}

void WaveRunner::observeOrdered(const std::string& vm, Drain& drain)
{
    const auto listed = m_directory.vms().find(vm);
    if (listed == m_directory.vms().end()) {
        return;
    }
    drain.wasAway = drain.wasAway || !listed->second.isUp;
    const bool isSameWorker = listed->second.isUp && listed->second.workerId == drain.workerId;
    const jobs::Worker* worker = m_cluster.state().findWorker(drain.workerId);
    if (worker != nullptr && !isSameWorker) {
        m_cluster.propose(jobs::RemoveWorker { worker->number }, nullptr);
    }
}

// A list may show the VM as up after the confirmation and before it goes down, and one that lacks it proves nothing.
bool WaveRunner::isBack(const std::string& vm, const Drain& drain) const
{
    const bool mustBeOver = *m_directory.askedAt() - *drain.orderedAt >= maxMaintenanceTime;
    const auto listed = m_directory.vms().find(vm);
    if (listed == m_directory.vms().end()) {
        return mustBeOver;
    }
    const bool runsAnother
        = !drain.workerId.empty() && !listed->second.workerId.empty() && listed->second.workerId != drain.workerId;
    return listed->second.isUp && (drain.wasAway || runsAnother || mustBeOver);
}

// Only the answer to a repeated order tells that none of them may still be carried out.
void WaveRunner::adoptOrdered(base::MonotonicTime now)
{
    for (const auto& [id, wave] : m_cluster.state().waves()) {
        for (const auto& [vm, phase] : wave.vms) {
            if (phase != jobs::WaveVmPhase::Ordered || m_drains.contains(vm)) {
                continue;
            }
            Drain drain;
            drain.wave = id;
            drain.workerId = lastWorkerId(vm);
            drain.service = serviceOf(drain.workerId);
            drain.startedAt = now;
            drain.isUncertain = true;
            m_log.info("vm_order_unsettled", { { "wave", id }, { "vm", vm }, { "worker", drain.workerId } });
            m_drains.emplace(vm, std::move(drain));
        }
    }
}

std::string WaveRunner::lastWorkerId(const std::string& vm) const
{
    const auto listed = m_directory.vms().find(vm);
    if (listed != m_directory.vms().end()) {
        return listed->second.workerId;
    }
    const auto absence = m_absences.find(vm);
    return absence == m_absences.end() ? std::string() : absence->second.lastWorkerId;
}

std::size_t WaveRunner::downVms(const jobs::Wave& wave) const
{
    return static_cast<std::size_t>(std::ranges::count_if(wave.vms, [&](const auto& entry) {
        const auto vm = m_directory.vms().find(entry.first);
        const auto drain = m_drains.find(entry.first);
        const bool isOrdered = drain != m_drains.end() && drain->second.mayBeDown();
        return isOrdered || (vm != m_directory.vms().end() && !vm->second.isUp);
    }));
}

void WaveRunner::followWorkers(base::MonotonicTime now)
{
    const auto runsAnother = [this](const auto& entry) {
        const Drain& drain = entry.second;
        const auto vm = m_directory.vms().find(entry.first);
        return !drain.orderedAt && !drain.isCalling && vm != m_directory.vms().end()
            && vm->second.workerId != drain.workerId;
    };
    std::erase_if(m_drains, [&](const auto& entry) { return !entry.second.isUncertain && runsAnother(entry); });
    for (auto& entry : m_drains) {
        if (runsAnother(entry)) {
            // The repeated order may end the tasks of the later worker.
            entry.second.workerId = m_directory.vms().at(entry.first).workerId;
            entry.second.startedAt = now;
        }
    }
}

// A list is read in pages while VMs move, and may have been asked for before the wave was received, so that one that
// lacks a VM proves nothing.
void WaveRunner::countListings()
{
    if (m_countedListing == m_directory.askedAt()) {
        return;
    }
    m_countedListing = m_directory.askedAt();
    std::map<std::string, Absence> absences;
    for (const auto& [id, wave] : m_cluster.state().waves()) {
        for (const auto& [vm, phase] : wave.vms) {
            const auto listed = m_directory.vms().find(vm);
            if (phase == jobs::WaveVmPhase::Done) {
                continue;
            }
            const auto known = m_absences.find(vm);
            Absence absence = known == m_absences.end() ? Absence {} : known->second;
            if (listed != m_directory.vms().end()) {
                absence = { listed->second.workerId, 0 };
            } else {
                ++absence.listings;
            }
            absences[vm] = std::move(absence);
        }
    }
    m_absences = std::move(absences);
}

bool WaveRunner::isLongAbsent(const std::string& vm) const
{
    const auto absence = m_absences.find(vm);
    return absence != m_absences.end() && absence->second.listings >= absentListings;
}

void WaveRunner::advanceWave(
    const jobs::Wave& wave, base::MonotonicTime now, const std::function<bool(const std::string& vm)>& isMoving)
{
    for (const auto& [vm, phase] : wave.vms) {
        const auto listed = m_directory.vms().find(vm);
        if (phase != jobs::WaveVmPhase::Done && listed != m_directory.vms().end()) {
            m_dueWorkers.insert(listed->second.workerId);
        }
    }
    std::size_t down = downVms(wave);
    for (auto& [vm, drain] : m_drains) {
        if (drain.wave == wave.id) {
            advanceDrain(wave, vm, drain, down, now);
        }
    }
    startDrains(wave, now, isMoving);
}

// As many VMs are emptied as may be down, so that the next ones are ready when the first ones come back.
void WaveRunner::startDrains(
    const jobs::Wave& wave, base::MonotonicTime now, const std::function<bool(const std::string& vm)>& isMoving)
{
    auto emptying = std::ranges::count_if(
        m_drains, [&](const auto& entry) { return entry.second.wave == wave.id && !entry.second.orderedAt; });
    if (emptying >= static_cast<std::ptrdiff_t>(wave.maxConcurrent)) {
        return;
    }
    std::set<std::string> fullServices;
    std::size_t closed = 0;
    for (const std::string& id : drainCandidates(wave, isMoving)) {
        if (emptying >= static_cast<std::ptrdiff_t>(wave.maxConcurrent) || closed >= maxClosingsPerRound) {
            return;
        }
        const auto listed = m_directory.vms().find(id);
        Drain drain;
        drain.wave = wave.id;
        drain.workerId = lastWorkerId(id);
        drain.service = serviceOf(drain.workerId);
        const jobs::Closing closing
            = fullServices.contains(drain.service) ? jobs::Closing::No : close(drain.workerId, now);
        if (closing == jobs::Closing::No) {
            // The next candidates of the service have as many long-running tasks, or more.
            fullServices.insert(drain.service);
            continue;
        }
        drain.startedAt = now;
        drain.isWithoutPlace = closing == jobs::Closing::WithoutPlaces;
        m_drains.emplace(id, drain);
        ++emptying;
        ++closed;
        m_log.info("vm_drain",
            { { "wave", wave.id }, { "vm", id }, { "worker", drain.workerId },
                { "listed", listed != m_directory.vms().end() }, { "has_places", !drain.isWithoutPlace } });
    }
}

std::ptrdiff_t WaveRunner::countLongRunning(const jobs::Worker& worker) const
{
    const jobs::FleetState& state = m_cluster.state();
    return std::ranges::count_if(state.tasksOf(worker.number),
        [&](const jobs::TaskKey& key) { return state.findJob(key.job)->spec.steps[key.step].isLongRunning; });
}

std::vector<std::string> WaveRunner::drainCandidates(
    const jobs::Wave& wave, const std::function<bool(const std::string& vm)>& isMoving) const
{
    std::vector<std::tuple<std::ptrdiff_t, std::uint64_t, std::string>> candidates;
    for (const auto& [id, phase] : wave.vms) {
        const auto vm = m_directory.vms().find(id);
        const bool isListed = vm != m_directory.vms().end();
        const bool isCandidate = isListed ? vm->second.isUp : isLongAbsent(id);
        if (phase == jobs::WaveVmPhase::Done || !isCandidate || m_drains.contains(id) || m_openUntil.contains(id)
            || isMoving(id)) {
            continue;
        }
        const jobs::Worker* worker = m_cluster.state().findWorker(lastWorkerId(id));
        if (worker == nullptr) {
            candidates.emplace_back(0, 0, id);
        } else if (!m_isHeld(worker->report.id)) {
            candidates.emplace_back(countLongRunning(*worker), worker->assignedTasks, id);
        }
    }
    std::ranges::sort(candidates);
    std::vector<std::string> ids;
    std::ranges::transform(
        candidates, std::back_inserter(ids), [](const auto& candidate) { return std::get<2>(candidate); });
    return ids;
}

void WaveRunner::advanceDrain(
    const jobs::Wave& wave, const std::string& vm, Drain& drain, std::size_t& down, base::MonotonicTime now)
{
    const bool isListed = m_directory.vms().contains(vm);
    if (drain.orderedAt || drain.isCalling || drain.callAgainAt > now
        || (drain.workerId.empty() && !isListed && !isLongAbsent(vm))) {
        return;
    }
    const bool isCounted = drain.mayBeDown();
    const bool mayOrder = down - (isCounted ? 1 : 0) < wave.maxConcurrent;
    if (empty(drain, mayOrder, now) && mayOrder) {
        order(wave, vm, drain);
        down += drain.isCalling && !isCounted ? 1 : 0;
    }
}

bool WaveRunner::empty(const Drain& drain, bool mayOrder, base::MonotonicTime now)
{
    const jobs::FleetState& state = m_cluster.state();
    const jobs::Worker* worker = state.findWorker(drain.workerId);
    WorkerSession* session = worker == nullptr ? nullptr : m_findSession(worker->number);
    if (session == nullptr) {
        return true;
    }
    const bool isPatient = now - drain.startedAt < drainPatience;
    bool isEmpty = true;
    std::vector<jobs::TaskKey> longRunningTasks;
    for (const jobs::TaskKey& key : state.tasksOf(worker->number)) {
        const jobs::Job& job = *state.findJob(key.job);
        const jobs::StepSpec& step = job.spec.steps[key.step];
        if (step.isLongRunning) {
            longRunningTasks.push_back(key);
        } else if (isPatient) {
            isEmpty = false;
        } else if (step.hasCheckpoints) {
            isEmpty = false;
            session->stop(key, job.find(key)->run, "vm-drain");
        }
    }
    if (isEmpty && mayOrder) {
        for (const jobs::TaskKey& key : longRunningTasks) {
            if (mayInterrupt(key)) {
                session->stop(key, state.findJob(key.job)->find(key)->run, "vm-drain");
            }
        }
    }
    return isEmpty && longRunningTasks.empty();
}

std::string WaveRunner::serviceOf(const std::string& workerId) const
{
    const jobs::Worker* worker = m_cluster.state().findWorker(workerId);
    return worker == nullptr ? std::string() : worker->report.service;
}

jobs::LongRunningPlaces& WaveRunner::placesOf(const std::string& service, base::MonotonicTime now)
{
    const auto known = m_places.find(service);
    if (known != m_places.end()) {
        return known->second;
    }
    jobs::PlacesView view { .state = m_cluster.state(),
        .service = service,
        .nowMs = base::wallNow().time_since_epoch().count(),
        .isUsable =
            [&](const jobs::Worker& worker) {
                const WorkerSession* session = m_findSession(worker.number);
                return session != nullptr && session->isUsable(now);
            },
        .isClosed = [this](const jobs::Worker& worker) { return m_reservedWorkers.contains(worker.report.id); } };
    return m_places.emplace(service, jobs::LongRunningPlaces(view)).first->second;
}

jobs::Closing WaveRunner::close(const std::string& workerId, base::MonotonicTime now)
{
    const jobs::Worker* worker = m_cluster.state().findWorker(workerId);
    if (worker == nullptr) {
        return jobs::Closing::WithPlaces;
    }
    const std::string& service = worker->report.service;
    const bool isOnlyOne
        = std::ranges::none_of(m_drains, [&](const auto& entry) { return entry.second.service == service; });
    return placesOf(service, now)
        .close(worker->number, isOnlyOne && jobs::mayAllBeInterrupted(m_cluster.state(), worker->number));
}

// Otherwise a VM could stay closed for a task there that may not be interrupted while others of its step are away, and
// these could wait for room on that VM.
void WaveRunner::reopenNeeded(base::MonotonicTime now)
{
    std::erase_if(m_openUntil, [now](const auto& entry) { return entry.second <= now; });
    for (auto entry = m_drains.begin(); entry != m_drains.end();) {
        const Drain& drain = entry->second;
        const bool isAwaited = drain.isWithoutPlace && now - drain.startedAt < returnPatience;
        if (drain.mayBeDown() || isAwaited || !reopenIfNeeded(entry->first, drain, now)) {
            ++entry;
            continue;
        }
        m_openUntil[entry->first] = now + reopenedTime;
        entry = m_drains.erase(entry);
    }
}

bool WaveRunner::reopenIfNeeded(const std::string& vm, const Drain& drain, base::MonotonicTime now)
{
    const jobs::FleetState& state = m_cluster.state();
    const jobs::Worker* worker = state.findWorker(drain.workerId);
    if (worker == nullptr || !jobs::hasWaitingLongRunning(state, drain.service)) {
        return false;
    }
    jobs::LongRunningPlaces& places = placesOf(drain.service, now);
    const std::size_t waiting = places.withoutPlace().waiting;
    if (!places.reopen(worker->number)) {
        return false;
    }
    m_log.info("vm_drain_given_up",
        { { "wave", drain.wave }, { "vm", vm }, { "worker", drain.workerId }, { "without_place", waiting } });
    return true;
}

bool WaveRunner::mayInterrupt(const jobs::TaskKey& key) const
{
    return jobs::mayInterrupt(
        *m_cluster.state().findJob(key.job), key, [this](const jobs::TaskKey& other, const jobs::Task& task) {
            const WorkerSession* session
                = task.phase == jobs::TaskPhase::Assigned ? m_findSession(task.worker) : nullptr;
            return session != nullptr && session->isAtWork(other, task.run);
        });
}

void WaveRunner::order(const jobs::Wave& wave, const std::string& vm, Drain& drain)
{
    if (!m_cluster.mayOrderVm(vm, m_options.vmLease, base::monotonicNow())) {
        return;
    }
    drain.isCalling = true;
    recordStep(wave.id, vm, jobs::WaveVmPhase::Ordered);
    m_cluster.recordVmOrder(vm, [this, wave = wave.id, vm, alive = m_isAlive](bool mayOrder) {
        if (*alive) {
            sendOrder(wave, vm, mayOrder);
        }
    });
}

void WaveRunner::sendOrder(std::uint64_t wave, const std::string& vm, bool mayOrder)
{
    const auto found = m_drains.find(vm);
    if (found == m_drains.end()) {
        return;
    }
    Drain& drain = found->second;
    if (!mayOrder || !isOrdered(wave, vm)) {
        drain.isCalling = false;
        withdrawOrder(wave, vm, drain);
        return;
    }
    m_log.info("vm_maintenance",
        { { "wave", wave }, { "vm", vm }, { "worker", drain.workerId }, { "term", m_cluster.servingTerm() } });
    const std::uint64_t term = m_cluster.servingTerm();
    m_client.call(
        *m_options.vmInterface, platform::maintenanceRequest({ m_options.name, term }, vm, wave),
        base::monotonicNow() + callTimeout,
        [this, wave, vm](const http::ExchangeResult& result) { onOrdered(wave, vm, result); },
        [this, term] { return m_cluster.mayOrder(term, base::monotonicNow()); });
}

void WaveRunner::onOrdered(std::uint64_t wave, const std::string& vm, const http::ExchangeResult& result)
{
    constexpr int statusNoSuchVm = 400;
    const auto found = m_drains.find(vm);
    if (found == m_drains.end()) {
        return;
    }
    Drain& drain = found->second;
    drain.isCalling = false;
    const int status = result.response ? result.response->status : 0;
    m_log.info("vm_maintenance_answer",
        { { "wave", wave }, { "vm", vm }, { "status", status },
            { "failure", http::exchangeFailureName(result.failure) } });
    if (status == 200) {
        drain.orderedAt = base::monotonicNow();
        recordStep(wave, vm, jobs::WaveVmPhase::Done);
    } else if (status == statusNoSuchVm) {
        m_log.info("wave_vm_gone", { { "wave", wave }, { "vm", vm } });
        m_drains.erase(found);
        recordStep(wave, vm, jobs::WaveVmPhase::Done);
    } else {
        // Also without an answer: the platform answers that it is done when it was carried out after all.
        drain.isUncertain = drain.isUncertain || (!result.response && result.mayHaveStarted);
        drain.callAgainAt = base::monotonicNow() + callPause;
        withdrawOrder(wave, vm, drain);
    }
}

bool WaveRunner::isOrdered(std::uint64_t wave, const std::string& vm) const
{
    const auto& waves = m_cluster.state().waves();
    const auto found = waves.find(wave);
    return found != waves.end() && found->second.vms.at(vm) == jobs::WaveVmPhase::Ordered;
}

void WaveRunner::withdrawOrder(std::uint64_t wave, const std::string& vm, const Drain& drain)
{
    if (!drain.isUncertain) {
        recordStep(wave, vm, jobs::WaveVmPhase::Waiting);
    }
}

void WaveRunner::recordStep(std::uint64_t wave, const std::string& vm, jobs::WaveVmPhase phase)
{
    m_cluster.propose(jobs::RecordWaveStep { wave, vm, phase }, nullptr);
}

void WaveRunner::updateReserved()
{
    m_reservedWorkers.clear();
    std::ranges::for_each(m_drains, [this](const auto& entry) { m_reservedWorkers.insert(entry.second.workerId); });
}

} // namespace crocuscove::control
