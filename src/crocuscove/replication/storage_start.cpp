#include "crocuscove/replication/storage_start.h"

#include "crocuscove/storage/storage_error.h"

#include <utility>

namespace crocuscove::replication {

namespace {

constexpr base::Milliseconds retryInterval { 500 };
constexpr base::Milliseconds logInterval { 5'000 };

} // namespace

StorageStart::StorageStart(http::EventLoop& loop, const base::Log& log, std::function<void()> start)
    : m_loop(loop)
    , m_log(log)
    , m_start(std::move(start))
{
    attempt();
}

void StorageStart::attempt()
{
    try {
        m_start();
    } catch (const storage::StorageError& error) {
        if (!storage::isTemporary(error.fault())) {
            throw;
        }
        const auto now = base::monotonicNow();
        if (now >= m_nextLogAt) {
            m_nextLogAt = now + logInterval;
            m_log.error("start_delayed", { { "cause", error.what() } });
        }
        m_timer = m_loop.runAt(now + retryInterval, [this] { attempt(); });
    }
}

} // namespace crocuscove::replication
