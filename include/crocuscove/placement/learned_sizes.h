#pragma once

#include "crocuscove/state/records.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace crocuscove::placement {

/// Peak resource usage and run time of a finished job.
struct JobSample {
    state::Resources used {};
    base::Milliseconds runTime { 0 };
};

/// Groups the jobs of one team by declared size: cores and memory by power of two, accelerators by exact count.
struct JobClass {
    base::TeamId team {};
    int coresPower = 0;
    int memoryPower = 0;
    std::uint32_t accelerators = 0;

    auto operator<=>(const JobClass&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Ring buffer of the last samples of one class. `next` is the index of the oldest sample once the buffer is full.
struct ClassSamples {
    std::vector<JobSample> ring {};
    std::size_t next = 0;
    base::WallTime lastSample {};
    /// Quantile of each field over the ring buffer.
    JobSample quantile {};
};

/// Usage samples that the caller keeps between planning rounds. Not replicated: a new leader starts empty and uses
/// declared sizes.
struct LearnedSizes {
    std::map<JobClass, ClassSamples> classes {};
};

struct LearningOptions {
    double quantile = 0.95;
    /// Declared sizes are used until a class has this many samples.
    std::size_t minSamples = 8;
    std::size_t maxSamples = 64;
    /// Above this number, the class whose last sample is oldest is evicted.
    std::size_t maxClasses = 8'192;
};

/// Adds the usage of a finished job to the samples of its class.
void recordSample(LearnedSizes& sizes, const state::JobSpec& spec, const JobSample& sample,
    const LearningOptions& options, base::WallTime now);

/// Returns the size to plan a job with, never above the capacity of a worker that is large enough for the declared
/// size. `capacities` are the different capacities of the workers. Accelerators are always as declared.
state::Resources learnedSize(const LearnedSizes& sizes, const state::JobSpec& spec,
    const std::vector<state::Resources>& capacities, const LearningOptions& options);

/// Returns the learned run time, or nothing while there are too few samples.
std::optional<base::Milliseconds> learnedRunTime(
    const LearnedSizes& sizes, const state::JobSpec& spec, const LearningOptions& options);

} // namespace crocuscove::placement
