#pragma once

#include "crocuscove/base/time.h"

namespace crocuscove::base {

/// Decides when recurring work may run next, so that it uses at most a share of the time. Under load the work then runs
/// less often instead of displacing everything else.
class WorkPacer {
public:
    /// The work runs at most once in `minInterval`, and uses at most `maxShare` of the time, above 0 and up to 1.
    WorkPacer(Milliseconds minInterval, double maxShare)
        : m_minInterval(minInterval)
        , m_maxShare(maxShare)
    {
    }

    /// Records a run.
    void record(MonotonicTime begin, MonotonicTime end);

    /// The earliest time of the next run; the epoch before the first.
    [[nodiscard]] MonotonicTime nextAt() const { return m_nextAt; }

private:
    Milliseconds m_minInterval;
    double m_maxShare;
    MonotonicTime m_nextAt;
};

} // namespace crocuscove::base
