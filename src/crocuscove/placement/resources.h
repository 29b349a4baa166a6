#pragma once

#include "crocuscove/placement/placement_plan.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace crocuscove::placement {

inline constexpr std::array resourceKinds { ResourceKind::Cores, ResourceKind::MemoryMb, ResourceKind::Accelerators };

inline bool fits(const state::Resources& need, const state::Resources& free)
{
    return need.cores <= free.cores && need.memoryMb <= free.memoryMb && need.accelerators <= free.accelerators;
}

/// Adds with saturation at the largest value.
inline void add(state::Resources& sum, const state::Resources& part)
{
    sum.cores += std::min(part.cores, ~sum.cores);
    sum.memoryMb += std::min(part.memoryMb, ~sum.memoryMb);
    sum.accelerators += std::min(part.accelerators, ~sum.accelerators);
}

/// Subtracts with saturation at zero.
inline void subtract(state::Resources& from, const state::Resources& part)
{
    from.cores -= std::min(from.cores, part.cores);
    from.memoryMb -= std::min(from.memoryMb, part.memoryMb);
    from.accelerators -= std::min(from.accelerators, part.accelerators);
}

inline std::uint64_t amount(const state::Resources& resources, ResourceKind kind)
{
    switch (kind) {
    case ResourceKind::Cores:
        return resources.cores;
    case ResourceKind::MemoryMb:
        return resources.memoryMb;
    case ResourceKind::Accelerators:
        return resources.accelerators;
    }
    return 0;
}

/// Share of one resource that a job or team uses. Any use of a resource with capacity 0 counts as a share of 1.
inline double shareOf(std::uint64_t part, std::uint64_t whole)
{
    if (part == 0) {
        return 0.0;
    }
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

/// Largest share over all resource kinds, as defined by dominant resource fairness.
inline double dominantShare(const state::Resources& part, const state::Resources& whole)
{
    return std::max({ shareOf(part.cores, whole.cores), shareOf(part.memoryMb, whole.memoryMb),
        shareOf(part.accelerators, whole.accelerators) });
}

} // namespace crocuscove::placement
