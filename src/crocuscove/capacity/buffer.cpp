#include "buffer.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace crocuscove::capacity {

namespace {

/// VMs of a pool in one failure domain.
struct Share {
    std::size_t domain = 0;
    std::size_t pool = 0;
    std::uint32_t vms = 0;
};

/// Counts the members of the pools that count in a kind of domain, by domain and pool.
template <typename DomainOf, typename Counts>
std::vector<Share> countShares(const Fleet& fleet, DomainOf domainOf, Counts counts)
{
    std::vector<Share> single;
    for (std::size_t vm = 0; vm < fleet.places.size(); ++vm) {
        if (const auto pool = fleet.memberOf[vm]; pool && counts(fleet.pools[*pool])) {
            single.push_back({ domainOf(fleet.places[vm]), *pool, 1 });
        }
    }
    const auto key = [](const Share& share) { return std::pair(share.domain, share.pool); };
    std::ranges::sort(single, {}, key);
    std::vector<Share> shares;
    for (const Share& share : single) {
        if (!shares.empty() && key(shares.back()) == key(share)) {
            ++shares.back().vms;
        } else {
            shares.push_back(share);
        }
    }
    return shares;
}

/// VMs that a pool lacks for its demand when it loses `vms`.
std::uint32_t deficit(const Pool& pool, std::uint32_t vms)
{
    const std::uint32_t cover = pool.need.wanted + std::max(vms, pool.spare);
    return cover - std::min(cover, pool.members);
}

struct DomainCover {
    /// Spare VMs needed for the worst domain, with those that the domain itself takes away.
    std::uint32_t joint = 0;
    /// For each pool: the VMs it needs for the domain that is worst for itself.
    std::vector<std::uint32_t> alone;
};

void coverDomains(const Fleet& fleet, const std::vector<Share>& shares, DomainCover& cover)
{
    for (auto share = shares.begin(); share != shares.end();) {
        std::uint32_t sum = 0;
        std::uint32_t lostSpares = 0;
        const std::size_t domain = share->domain;
        for (; share != shares.end() && share->domain == domain; ++share) {
            const Pool& pool = fleet.pools[share->pool];
            if (pool.isSpare) {
                lostSpares += share->vms;
                continue;
            }
            const std::uint32_t vms = deficit(pool, share->vms);
            cover.alone[share->pool] = std::max(cover.alone[share->pool], vms);
            sum += vms;
        }
        cover.joint = std::max(cover.joint, sum == 0 ? 0 : sum + lostSpares);
    }
}

std::uint32_t roundUp(double vms) { return static_cast<std::uint32_t>(std::ceil(vms - 1e-9)); }

struct Uncertainty {
    double joint = 0.0;
    std::uint32_t alone = 0;
};

// Mean and variance of the positive part of a standard normal error. Only a demand that was reported too low takes
// from the buffer, so the sum over many services has a mean above 0.
constexpr double positivePartMean = 0.3989;
constexpr double positivePartVariance = 0.3408;

/// Errors of different services are independent, so that their squares add up. With few services the quantile of the
/// plain sum is the larger bound, with many that of the positive parts.
Uncertainty reportErrors(const Fleet& fleet)
{
    Uncertainty errors;
    double sum = 0.0;
    double squares = 0.0;
    for (const Need& need : fleet.needs) {
        const double error = fleet.options.reportError * need.wanted;
        sum += error;
        squares += error * error;
        errors.alone += roundUp(fleet.options.errorQuantile * error);
    }
    const double quantile = fleet.options.errorQuantile;
    errors.joint = std::max(
        quantile * std::sqrt(squares), positivePartMean * sum + quantile * std::sqrt(positivePartVariance * squares));
    return errors;
}

/// Lasting demand that the history shows above the capacity of the pools. What coincides adds up.
Uncertainty surges(const Fleet& fleet)
{
    Uncertainty result;
    std::map<std::int64_t, double> sums;
    for (const Pool& pool : fleet.pools) {
        for (const std::size_t service : pool.services) {
            const double slots = fleet.view.services[service].document->pool.slotsPerExecutor;
            const double capacity = static_cast<double>(pool.members) / static_cast<double>(pool.services.size());
            double highest = 0.0;
            for (const auto& [bucket, demand] : fleet.demands[service].sustained) {
                const double excess = std::max(0.0, demand / slots - capacity);
                highest = std::max(highest, excess);
                if (excess > 0.0) {
                    sums[bucket] += excess;
                }
            }
            result.alone += roundUp(highest);
        }
    }
    std::ranges::for_each(sums, [&](const auto& sum) { result.joint = std::max(result.joint, sum.second); });
    return result;
}

} // namespace

BufferPlan sizeBuffer(const Fleet& fleet)
{
    DomainCover cover { .alone = std::vector<std::uint32_t>(fleet.pools.size(), 0) };
    const auto counts = [](const Pool& pool) { return pool.isSpare || !pool.services.empty(); };
    coverDomains(fleet,
        countShares(
            fleet, [](const Place& place) { return place.rack; }, counts),
        cover);
    // A service that is to survive the loss of a rack does not ask to survive that of a data centre.
    coverDomains(fleet,
        countShares(
            fleet, [](const Place& place) { return place.dataCentre; },
            [&](const Pool& pool) { return counts(pool) && (pool.isSpare || pool.isPerDataCentre); }),
        cover);
    const Uncertainty errors = reportErrors(fleet);
    const Uncertainty excess = surges(fleet);
    BufferPlan buffer { .needed = cover.joint + roundUp(errors.joint + excess.joint),
        .held = fleet.pools[fleet.spare].freeSpares(),
        .neededAlone = errors.alone + excess.alone };
    std::ranges::for_each(cover.alone, [&](std::uint32_t vms) { buffer.neededAlone += vms; });
    return buffer;
}

} // namespace crocuscove::capacity
