#pragma once

#include "crocuscove/base/codec_fields.h"

#include <algorithm>
#include <cstdint>

namespace crocuscove::jobs {

/// Amounts of processor time, memory and accelerators.
struct Resources {
    /// Thousandths of a core.
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources&) const = default;

    Resources& operator+=(const Resources& other)
    {
        cpuMilli += other.cpuMilli;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    Resources& operator-=(const Resources& other)
    {
        cpuMilli -= other.cpuMilli;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend Resources operator-(Resources left, const Resources& right) { return left -= right; }

    /// Returns whether no resource exceeds the amount in `free`.
    [[nodiscard]] bool fitsInto(const Resources& free) const
    {
        return cpuMilli <= free.cpuMilli && memoryMb <= free.memoryMb && accelerators <= free.accelerators;
    }
};

/// Returns the maximum of each resource.
inline Resources componentwiseMax(const Resources& left, const Resources& right)
{
    return { std::max(left.cpuMilli, right.cpuMilli), std::max(left.memoryMb, right.memoryMb),
        std::max(left.accelerators, right.accelerators) };
}

/// Returns the minimum of each resource.
inline Resources componentwiseMin(const Resources& left, const Resources& right)
{
    return { std::min(left.cpuMilli, right.cpuMilli), std::min(left.memoryMb, right.memoryMb),
        std::min(left.accelerators, right.accelerators) };
}

CROCUSCOVE_FIELDS(Resources, v.cpuMilli, v.memoryMb, v.accelerators)

} // namespace crocuscove::jobs
