#include "crocuscove/placement/learned_sizes.h"

#include "resources.h"

#include <bit>

namespace crocuscove::placement {

namespace {

JobClass classOf(const state::JobSpec& spec)
{
    return { spec.team, static_cast<int>(std::bit_width(spec.declared.cores)),
        static_cast<int>(std::bit_width(spec.declared.memoryMb)), spec.declared.accelerators };
}

template <typename Field> auto quantileOf(const std::vector<JobSample>& ring, double quantile, Field field)
{
    std::vector<decltype(field(ring.front()))> values;
    std::ranges::transform(ring, std::back_inserter(values), field);
    const auto rank = std::min(
        values.size() - 1, static_cast<std::size_t>(std::max(quantile, 0.0) * static_cast<double>(values.size())));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(rank));
    return values[rank];
}

void evictOldestClass(LearnedSizes& sizes)
{
    sizes.classes.erase(
        std::ranges::min_element(sizes.classes, {}, [](const auto& entry) { return entry.second.lastSample; }));
}

const ClassSamples* find(const LearnedSizes& sizes, const state::JobSpec& spec, const LearningOptions& options)
{
    const auto entry = sizes.classes.find(classOf(spec));
    const bool isKnown = entry != sizes.classes.end() && entry->second.ring.size() >= options.minSamples;
    return isKnown ? &entry->second : nullptr;
}

state::Resources smaller(const state::Resources& left, const state::Resources& right)
{
    return { std::min(left.cores, right.cores), std::min(left.memoryMb, right.memoryMb),
        std::min(left.accelerators, right.accelerators) };
}

} // namespace

void recordSample(LearnedSizes& sizes, const state::JobSpec& spec, const JobSample& sample,
    const LearningOptions& options, base::WallTime now)
{
    const auto jobClass = classOf(spec);
    if (!sizes.classes.contains(jobClass) && sizes.classes.size() >= options.maxClasses) {
        evictOldestClass(sizes);
    }
    ClassSamples& samples = sizes.classes[jobClass];
    if (samples.ring.size() < options.maxSamples) {
        samples.ring.push_back(sample);
    } else {
        samples.ring[samples.next] = sample;
        samples.next = (samples.next + 1) % samples.ring.size();
    }
    samples.lastSample = now;
    const auto quantile = [&](auto field) { return quantileOf(samples.ring, options.quantile, field); };
    samples.quantile.used.cores = quantile([](const JobSample& one) { return one.used.cores; });
    samples.quantile.used.memoryMb = quantile([](const JobSample& one) { return one.used.memoryMb; });
    samples.quantile.runTime = quantile([](const JobSample& one) { return one.runTime; });
}

state::Resources learnedSize(const LearnedSizes& sizes, const state::JobSpec& spec,
    const std::vector<state::Resources>& capacities, const LearningOptions& options)
{
    const ClassSamples* samples = find(sizes, spec, options);
    if (samples == nullptr) {
        return spec.declared;
    }
    const state::Resources& used = samples->quantile.used;
    const state::Resources learned { std::max(used.cores, 1U), std::max<std::uint64_t>(used.memoryMb, 1),
        spec.declared.accelerators };
    const auto holds = [](const state::Resources& size) {
        return [&size](const state::Resources& capacity) { return fits(size, capacity); };
    };
    if (std::ranges::any_of(capacities, holds(learned))) {
        return learned;
    }
    const auto missingShare = [&](const state::Resources& capacity) {
        state::Resources missing = learned;
        subtract(missing, capacity);
        return fits(spec.declared, capacity) ? dominantShare(missing, learned) : 2.0;
    };
    const auto closest = std::ranges::min_element(capacities, {}, missingShare);
    const bool isLargeEnough = closest != capacities.end() && fits(spec.declared, *closest);
    return isLargeEnough ? smaller(learned, *closest) : spec.declared;
}

std::optional<base::Milliseconds> learnedRunTime(
    const LearnedSizes& sizes, const state::JobSpec& spec, const LearningOptions& options)
{
    const ClassSamples* samples = find(sizes, spec, options);
    return samples == nullptr ? std::nullopt : std::optional(samples->quantile.runTime);
}

} // namespace crocuscove::placement
