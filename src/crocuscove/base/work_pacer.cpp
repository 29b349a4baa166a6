#include "crocuscove/base/work_pacer.h"

#include <algorithm>

namespace crocuscove::base {

namespace {

/// A run that took longer was interrupted, as by a suspended machine; the next one must not wait for as long again.
constexpr Milliseconds maxInterval { 500 };

} // namespace

void WorkPacer::record(MonotonicTime begin, MonotonicTime end)
{
    const auto taken = std::max(end - begin, Microseconds(0));
    const auto interval = std::chrono::duration_cast<Microseconds>(taken / m_maxShare);
    m_nextAt = begin + std::clamp<Microseconds>(interval, m_minInterval, std::max(m_minInterval, maxInterval));
}

} // namespace crocuscove::base
