#include "buffer.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace crocuscove::capacity {

namespace {

/// VMs of a pool in one failure domain.
struct DomainMembers {
    std::size_t domain = 0;
    std::size_t pool = 0;
    std::uint32_t vms = 0;
};

/// Counts pool members by failure domain and pool, for the pools that `isCounted` selects.
template <typename DomainOf, typename IsCounted>
std::vector<DomainMembers> countShares(const Fleet& fleet, DomainOf domainOf, IsCounted isCounted)
{
    std::vector<DomainMembers> single;
    for (std::size_t vm = 0; vm < fleet.locations.size(); ++vm) {
        if (const auto pool = fleet.memberOf[vm]; pool && isCounted(fleet.pools[*pool])) {
            single.push_back({ domainOf(fleet.locations[vm]), *pool, 1 });
        }
    }
    const auto key = [](const DomainMembers& share) { return std::pair(share.domain, share.pool); };
    std::ranges::sort(single, {}, key);
    std::vector<DomainMembers> shares;
    for (const DomainMembers& share : single) {
        if (!shares.empty() && key(shares.back()) == key(share)) {
            ++shares.back().vms;
        } else {
            shares.push_back(share);
        }
    }
    return shares;
}

/// Returns how many VMs the pool lacks for its demand after it loses `vms` VMs.
std::uint32_t deficit(const Pool& pool, std::uint32_t vms)
{
    const std::uint32_t cover = pool.need.wanted + std::max(vms, pool.spare);
    return cover - std::min(cover, pool.members);
}

struct DomainCover {
    /// Spare VMs needed for the loss of the worst domain, including spare VMs lost in that domain.
    std::uint32_t shared = 0;
    /// For each pool: the VMs needed for the loss of the domain that is worst for this pool.
    std::vector<std::uint32_t> separate;
};

void coverDomains(const Fleet& fleet, const std::vector<DomainMembers>& shares, DomainCover& cover)
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
            cover.separate[share->pool] = std::max(cover.separate[share->pool], vms);
            sum += vms;
        }
        cover.shared = std::max(cover.shared, sum == 0 ? 0 : sum + lostSpares);
    }
}

std::uint32_t roundUp(double vms) { return static_cast<std::uint32_t>(std::ceil(vms - 1e-9)); }

struct Uncertainty {
    double shared = 0.0;
    std::uint32_t separate = 0;
};

// Mean and variance of the positive part of a standard normal variable. Only under-reported demand draws on the
// buffer, so the sum over many services has a mean above 0.
constexpr double positivePartMean = 0.3989;
constexpr double positivePartVariance = 0.3408;

/// Report errors of different services are independent, so their variances add up. The quantile of the plain sum is the
/// larger bound for few services, that of the positive parts for many.
Uncertainty reportErrors(const Fleet& fleet)
{
    Uncertainty errors;
    double sum = 0.0;
    double squares = 0.0;
    for (const Need& need : fleet.needs) {
        const double error = fleet.options.reportError * need.wanted;
        sum += error;
        squares += error * error;
        errors.separate += roundUp(fleet.options.errorQuantile * error);
    }
    const double quantile = fleet.options.errorQuantile;
    errors.shared = std::max(
        quantile * std::sqrt(squares), positivePartMean * sum + quantile * std::sqrt(positivePartVariance * squares));
    return errors;
}

/// Sustained demand in the history above the capacity of the pools. Excess of several services in the same bucket adds
/// up.
Uncertainty demandAboveCapacity(const Fleet& fleet)
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
            result.separate += roundUp(highest);
        }
    }
    std::ranges::for_each(sums, [&](const auto& sum) { result.shared = std::max(result.shared, sum.second); });
    return result;
}

} // namespace

BufferPlan sizeBuffer(const Fleet& fleet)
{
    DomainCover cover { .separate = std::vector<std::uint32_t>(fleet.pools.size(), 0) };
    const auto isCounted = [](const Pool& pool) { return pool.isSpare || !pool.services.empty(); };
    coverDomains(fleet,
        countShares(
            fleet, [](const Location& location) { return location.rack; }, isCounted),
        cover);
    // Only pools whose failure domain is the data centre must survive the loss of one.
    coverDomains(fleet,
        countShares(
            fleet, [](const Location& location) { return location.dataCentre; },
            [&](const Pool& pool) { return isCounted(pool) && (pool.isSpare || pool.isPerDataCentre); }),
        cover);
    const Uncertainty errors = reportErrors(fleet);
    const Uncertainty excess = demandAboveCapacity(fleet);
    BufferPlan buffer { .needed = cover.shared + roundUp(errors.shared + excess.shared),
        .held = fleet.pools[fleet.spare].lendableVms(),
        .neededSeparately = errors.separate + excess.separate };
    std::ranges::for_each(cover.separate, [&](std::uint32_t vms) { buffer.neededSeparately += vms; });
    return buffer;
}

} // namespace crocuscove::capacity
