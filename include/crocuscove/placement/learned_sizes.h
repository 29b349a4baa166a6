#pragma once

#include "crocuscove/state/records.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace crocuscove::placement {

/// What a finished job used at most, and how long it ran.
struct JobSample {
    state::Resources used {};
    base::Milliseconds runTime { 0 };
};

/// Jobs of one team whose declared sizes are alike: equal powers of two and equal accelerators.
struct JobClass {
    base::TeamId team {};
    int coresPower = 0;
    int memoryPower = 0;
    std::uint32_t accelerators = 0;

    auto operator<=>(const JobClass&) const = default; // NOLINT(modernize-use-nullptr)
};

/// The last samples of one class. `next` is the oldest one once the ring is full.
struct ClassSamples {
    std::vector<JobSample> ring {};
    std::size_t next = 0;
    base::WallTime lastSample {};
    /// Quantiles of the ring.
    JobSample quantile {};
};

/// Kept by the caller between rounds. Soft: a new leader begins with none and uses declared sizes.
struct LearnedSizes {
    std::map<JobClass, ClassSamples> classes {};
};

struct LearningOptions {
    double quantile = 0.95;
    /// Declared sizes are used until a class has this many samples.
    std::size_t minSamples = 8;
    std::size_t maxSamples = 64;
    /// The class without a sample for the longest time is forgotten when there are more.
    std::size_t maxClasses = 8'192;
};

/// Takes a finished job into account.
void learn(LearnedSizes& sizes, const state::JobSpec& spec, const JobSample& sample, const LearningOptions& options,
    base::WallTime now);

/// Returns the size to plan a job with, never above the capacity of a worker that is large enough for the declared
/// size. `capacities` are the different capacities of the workers. Accelerators are always as declared.
state::Resources learnedSize(const LearnedSizes& sizes, const state::JobSpec& spec,
    const std::vector<state::Resources>& capacities, const LearningOptions& options);

/// Returns the learned run time, or nothing while there are too few samples.
std::optional<base::Milliseconds> learnedRunTime(
    const LearnedSizes& sizes, const state::JobSpec& spec, const LearningOptions& options);

} // namespace crocuscove::placement
