#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/time.h"
#include "crocuscove/http/event_loop.h"

#include <functional>

namespace crocuscove::replication {

/// Starts something that opens a data folder, and tries again while the disk has a fault that may end by itself, such
/// as no room. Other errors are passed on: from the constructor, or out of the loop.
class StorageStart {
public:
    /// `start` runs at once, and again on the loop until it doesn't throw such a storage::StorageError.
    StorageStart(http::EventLoop& loop, const base::Log& log, std::function<void()> start);

private:
    void attempt();

    http::EventLoop& m_loop;
    const base::Log& m_log;
    std::function<void()> m_start;
    base::MonotonicTime m_nextLogAt;
    http::Timer m_timer;
};

} // namespace crocuscove::replication
