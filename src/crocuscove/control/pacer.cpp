#include "pacer.h"

#include <algorithm>
#include <optional>

namespace crocuscove::control {

namespace {

/// The tail that a worker reports covers the last half second, so that a change shows after this time.
constexpr base::Milliseconds settleTime { 600 };
/// Leftover work is let on again only while the tail is below this share of its target.
constexpr double raiseBelow = 0.7;
constexpr double slowAbove = 0.9;
constexpr std::uint32_t raiseStep = 20;
constexpr std::uint32_t fullPace = 100;

/// Returns the highest tail of a serving task against its target, or nothing when none serves.
std::optional<double> worstTail(const jobs::FleetState& state, const WorkerSession& session)
{
    std::optional<double> worst;
    for (const platform::RunningTask& task : session.running()) {
        const jobs::Job* job = state.findJob(task.task.job);
        const std::uint32_t target = job == nullptr || task.task.step >= job->spec.steps.size()
            ? 0
            : job->spec.steps[task.task.step].targetTailLatencyMs;
        if (target > 0) {
            worst = std::max(worst.value_or(0), static_cast<double>(task.loadMetric) / target);
        }
    }
    return worst;
}

std::uint32_t nextPercent(std::uint32_t percent, double tail)
{
    if (tail > 1.0) {
        return 0;
    }
    if (tail > slowAbove) {
        return percent / 2;
    }
    return tail < raiseBelow ? std::min(fullPace, percent + raiseStep) : percent;
}

} // namespace

void Pacer::adjust(const jobs::FleetState& state,
    const std::map<jobs::WorkerNumber, std::unique_ptr<WorkerSession>>& sessions, base::MonotonicTime now)
{
    std::erase_if(m_paces, [&](const auto& pace) { return !sessions.contains(pace.first); });
    for (const auto& [number, session] : sessions) {
        if (!session->hasPaceableTask()) {
            m_paces.erase(number);
            continue;
        }
        const auto tail = worstTail(state, *session);
        Pace& pace = m_paces[number];
        if (now - pace.changedAt >= settleTime) {
            const std::uint32_t percent = tail ? nextPercent(pace.percent, *tail) : fullPace;
            if (percent != pace.percent) {
                pace = { percent, now };
            }
        }
        for (const platform::RunningTask& task : session->running()) {
            const jobs::Job* job = state.findJob(task.task.job);
            const bool usesLeftover = job != nullptr && task.task.step < job->spec.steps.size()
                && job->spec.steps[task.task.step].usesLeftover;
            if (usesLeftover && task.percent != pace.percent && session->mayPace(task.task, now)) {
                session->pace(task.task, task.run, pace.percent);
            }
        }
    }
}

} // namespace crocuscove::control
