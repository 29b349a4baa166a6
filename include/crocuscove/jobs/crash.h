#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/jobs/job.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace crocuscove::jobs {

/// A task is given up after this many crashes that had no other possible cause; after two crashes it may be (issue 27,
/// BUDGET).
inline constexpr std::uint32_t maxAttributedCrashes = 2;
/// A task under which this many workers have crashed is given up in any case: after three crashes it must not be
/// started three times more (issue 27, BUDGET), and one crash may stay uncounted.
inline constexpr std::uint32_t maxCrashes = 4;
/// Crashes of racks before any other count at most this much, so that two others are needed to give a task up.
inline constexpr std::uint32_t maxRackCrashes = 2;
/// Crashes in bursts of restarts that are excused of one task; further ones count. It bounds the starts of deadly tasks
/// that several jobs start in step.
inline constexpr std::uint32_t maxExcusedCrashes = 8;
/// A silent worker whose crash is confirmed later than this, in milliseconds, may have run on meanwhile.
inline constexpr std::int64_t maxConfirmationDelayMs = 30'000;
/// A task with this many crashes starts where no run of another job is in its probation, and nothing else starts there
/// during its own.
inline constexpr std::uint32_t isolationCrashes = 2;
/// A run that has executed for this long, counted from its accepted start, is not the certain cause of a crash, though
/// it may be the cause.
inline constexpr base::Milliseconds crashProbation { 1'000 };
/// A task that has lost this many runs to crashes of any kind waits before its next start: it may have two more after
/// three crashes (issue 27, BUDGET).
inline constexpr std::uint32_t lostRunsBeforePause = 3;
/// A task that has lost this many runs is given up if at least `minOrdinaryCrashes` of the crashes were neither of
/// racks nor part of bursts.
inline constexpr std::uint32_t maxLostRuns = 5;
inline constexpr std::ptrdiff_t minOrdinaryCrashes = 2;
/// The longest wait after a lost run. It differs from task to task and from run to run, so that tasks that crash their
/// workers do so apart from each other and their crashes aren't taken for those of a rack or a burst.
inline constexpr base::Milliseconds lostRunSpread { 4'000 };
/// A task waits this long for its silent workers, which may have crashed: longer than a crashed one is mostly away, and
/// well within the 14 s in which work has to go on after trouble has ended (RULES, LOST).
inline constexpr base::Milliseconds confirmationWait { 10'000 };
/// The same for a task that has lost `maxLostRuns` runs; no crash is confirmed later.
inline constexpr base::Milliseconds lastConfirmationWait { maxConfirmationDelayMs };
/// A task that has lost this many runs may be what crashed its worker, also when the whole rack fell silent.
inline constexpr std::uint32_t suspectedLostRuns = 2;
/// A job is given up this long after the crash that decides it: the others of a burst of restarts have reported by
/// then.
inline constexpr base::Milliseconds giveUpDelay { 2'000 };
/// Crashes that are remembered of one task; the earliest is forgotten first. A long-running task, and one whose racks
/// crash, may have more.
inline constexpr std::size_t maxCrashesPerTask = 16;
/// Tasks whose crashes are counted at the same time.
inline constexpr std::size_t maxCrashRecords = 20'000;
/// Workers whose crash is not proven yet; beyond that the oldest is forgotten.
inline constexpr std::size_t maxUnconfirmedCrashes = 1'000;

/// A run that may have been executing when its worker crashed.
struct CrashedRun {
    TaskKey task;
    std::uint32_t run = 0;
    /// Whether it was in its probation, and nothing points to a run of another job.
    bool isAttributed = false;

    bool operator==(const CrashedRun&) const = default;
};

/// What is known of a run that may have been executing when its worker crashed.
struct RunAtCrash {
    TaskKey task;
    std::uint32_t run = 0;
    bool mayBeInProbation = false;
    /// Whether this leader saw its start accepted, so that its age is known.
    bool isStartKnown = false;
    /// Whether crashes stand against its task already.
    bool hasCrashes = false;
};

/// Returns the suspects of a crash. Each run may be the cause, whatever its age. The runs in their probation are
/// attributed the crash if all are of one job, with starts that are known, and no other run there has a task with
/// crashes.
std::vector<CrashedRun> suspectsOf(const std::vector<RunAtCrash>& runs);

/// A crash of a worker under a run of a task.
struct CountedCrash {
    std::uint32_t run = 0;
    /// Id of the worker.
    std::string worker;
    /// When the worker's successor started, in Unix milliseconds; 0 if that isn't known.
    std::int64_t restartedMs = 0;
    bool isAttributed = false;
    /// The worker crashed with its rack.
    bool isOfRack = false;
};

/// The crashes of workers under the runs of a task.
struct CrashRecord {
    std::vector<CountedCrash> counted;
    /// Number of crashes that were forgotten as parts of bursts of restarts.
    std::uint32_t excused = 0;
};

/// The crashes of workers that stand against a task.
struct TaskCrashes {
    std::uint32_t crashes = 0;
    /// Those that were attributed to it.
    std::uint32_t attributed = 0;
    /// The run that was counted last.
    std::uint32_t lastRun = 0;

    [[nodiscard]] bool isDeadly() const { return crashes >= maxCrashes || attributed >= maxAttributedCrashes; }
};

/// The runs of a task that were lost with a worker that crashed, or may have crashed, whatever the cause.
struct LostRuns {
    std::uint32_t runs = 0;
    /// The last one.
    std::uint32_t lastRun = 0;
    /// When it was lost, in Unix milliseconds.
    std::int64_t lastMs = 0;
    /// When a crash was last counted against the task, in Unix milliseconds.
    std::int64_t countedMs = 0;
    /// The run whose loss made the task wait; 0 before. Later runs start apart from those of other tasks.
    std::uint32_t pausedAfter = 0;
};

/// Returns when a task may start again, in Unix milliseconds; 0 for at once. `isUnconfirmed` tells that a worker under
/// it is silent and may yet come back, which shows whether it has crashed.
std::int64_t nextStartMs(const TaskKey& task, const LostRuns& lost, bool isUnconfirmed);

/// Returns what stands against a task. A crash of a rack counts for nothing before another crash. Once there is one, up
/// to `maxRackCrashes` of those before it count, without the first, since what looks like the crash of a rack may be
/// that of several tasks.
TaskCrashes summarizeCrashes(const std::vector<CountedCrash>& crashes);

/// A worker that fell silent, and has crashed if a later incarnation, or a later worker at its address, reports.
struct UnconfirmedCrash {
    std::int64_t incarnation = 0;
    std::string address;
    std::vector<CrashedRun> runs;
    /// In Unix milliseconds.
    std::int64_t recordedMs = 0;
};

CROCUSCOVE_FIELDS(CrashedRun, v.task, v.run, v.isAttributed)
CROCUSCOVE_FIELDS(CountedCrash, v.run, v.worker, v.restartedMs, v.isAttributed, v.isOfRack)
CROCUSCOVE_FIELDS(CrashRecord, v.counted, v.excused)
CROCUSCOVE_FIELDS(LostRuns, v.runs, v.lastRun, v.lastMs, v.countedMs, v.pausedAfter)
CROCUSCOVE_FIELDS(TaskCrashes, v.crashes, v.attributed, v.lastRun)
CROCUSCOVE_FIELDS(UnconfirmedCrash, v.incarnation, v.address, v.runs, v.recordedMs)

} // namespace crocuscove::jobs
