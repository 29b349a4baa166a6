#include "demand.h"

#include <algorithm>

namespace crocuscove::capacity {

namespace {

std::int64_t bucketOf(base::WallTime moment, const CapacityOptions& options)
{
    return moment.time_since_epoch() / std::chrono::duration_cast<base::Milliseconds>(options.bucket);
}

/// Returns the slots in use plus the queued requests. The queue counts for at most as many slots as are in use (at
/// least 1), so that the queue left by a surge does not inflate the demand.
double askedSlots(const LoadSample& sample)
{
    return sample.busySlots + std::min(sample.queued, std::max(sample.busySlots, 1.0));
}

/// Returns the samples in order of time, since reports of different entry nodes may arrive out of order.
std::vector<LoadSample> sorted(std::vector<LoadSample> samples)
{
    if (!std::ranges::is_sorted(samples, {}, &LoadSample::at)) {
        std::ranges::stable_sort(samples, {}, &LoadSample::at);
    }
    return samples;
}

Series meansByBucket(const std::vector<LoadSample>& samples, const CapacityOptions& options, std::int64_t current)
{
    Series means;
    std::size_t count = 0;
    for (const LoadSample& sample : samples) {
        const std::int64_t bucket = bucketOf(sample.at, options);
        // The current bucket is incomplete and might contain only the peak of a short surge.
        if (bucket >= current) {
            break;
        }
        if (means.empty() || means.back().first != bucket) {
            means.emplace_back(bucket, 0.0);
            count = 0;
        }
        ++count;
        means.back().second += (askedSlots(sample) - means.back().second) / static_cast<double>(count);
    }
    return means;
}

/// Returns the sliding-window minimum of the bucket means over the sustain time. Omits the first buckets, whose window
/// is not fully covered.
Series filterSurges(const Series& means, std::size_t width)
{
    Series sustained;
    const auto reach = static_cast<std::int64_t>(width) - 1;
    for (auto bucket = means.begin(); bucket != means.end(); ++bucket) {
        if (bucket->first < means.front().first + reach) {
            continue;
        }
        double lowest = bucket->second;
        for (auto other = bucket; other->first >= bucket->first - reach; --other) {
            lowest = std::min(lowest, other->second);
            if (other == means.begin()) {
                break;
            }
        }
        sustained.emplace_back(bucket->first, lowest);
    }
    return sustained;
}

double highestSince(const Series& sustained, std::int64_t first)
{
    double highest = 0.0;
    std::for_each(std::ranges::lower_bound(sustained, first, {}, &Series::value_type::first), sustained.end(),
        [&](const auto& entry) { highest = std::max(highest, entry.second); });
    return highest;
}

} // namespace

Demand estimateDemand(
    const std::vector<LoadSample>& samples, const Tuning& tuning, const CapacityOptions& options, base::WallTime now)
{
    const std::int64_t current = bucketOf(now, options);
    const Series means = meansByBucket(sorted(samples), options, current);
    Demand demand { .sustained = filterSurges(means, tuning.sustainBuckets) };
    if (means.empty()) {
        return demand;
    }
    const auto reachesBack
        = [&](std::size_t buckets) { return means.front().first <= current - static_cast<std::int64_t>(buckets); };
    demand.isFresh = std::ranges::max(samples, {}, &LoadSample::at).at + options.maxSampleAge >= now
        && reachesBack(tuning.sustainBuckets);
    demand.coversHold = reachesBack(tuning.holdBuckets);
    demand.coversReclaim = reachesBack(tuning.reclaimBuckets);
    demand.holdPeak = highestSince(demand.sustained, current - static_cast<std::int64_t>(tuning.holdBuckets));
    demand.reclaimPeak = highestSince(demand.sustained, current - static_cast<std::int64_t>(tuning.reclaimBuckets));
    return demand;
}

} // namespace crocuscove::capacity
