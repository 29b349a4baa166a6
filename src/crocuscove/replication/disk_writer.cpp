#include "crocuscove/replication/disk_writer.h"

#include "crocuscove/base/error.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace crocuscove::replication {

class DiskWriter::Impl {
public:
    Impl(http::EventLoop& loop, storage::DataFolder& folder, std::function<void(std::exception_ptr)> onWritten)
        : m_folder(folder)
        , m_onWritten(std::move(onWritten))
    {
        if (::pipe2(m_pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
            throw base::Error("can't create the pipe of the disk writer thread");
        }
        m_watch = loop.onReadable(m_pipe[0], [this] { onSignalled(); });
        m_thread = std::thread([this] { work(); });
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_wake.notify_all();
        m_thread.join();
        std::ranges::for_each(m_pipe, ::close);
    }

    [[nodiscard]] bool isWriting() const { return m_isWriting; }

    void write(std::vector<consensus::PendingWrite> writes)
    {
        m_isWriting = true;
        {
            const std::lock_guard lock(m_mutex);
            m_writes = std::move(writes);
            m_isDone = false;
        }
        m_wake.notify_all();
    }

    std::exception_ptr wait()
    {
        std::unique_lock lock(m_mutex);
        m_wake.wait(lock, [this] { return m_isDone; });
        return finish();
    }

private:
    // The pipe may still hold a byte of a write that wait() has already completed.
    void onSignalled()
    {
        std::array<char, 16> bytes {};
        static_cast<void>(::read(m_pipe[0], bytes.data(), bytes.size()));
        std::exception_ptr error;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isWriting || !m_isDone) {
                return;
            }
            error = finish();
        }
        m_onWritten(error);
    }

    std::exception_ptr finish()
    {
        m_isWriting = false;
        return std::exchange(m_error, nullptr);
    }

    void work()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_wake.wait(lock, [this] { return m_isStopping || !m_writes.empty(); });
            if (m_writes.empty()) {
                return;
            }
            const auto writes = std::exchange(m_writes, {});
            lock.unlock();
            std::exception_ptr error;
            try {
                std::ranges::for_each(writes,
                    [this](const consensus::PendingWrite& write) { m_folder.append(write.hardState, write.entries); });
                m_folder.sync();
            } catch (...) {
                // Rethrown on the loop.
                error = std::current_exception();
            }
            lock.lock();
            m_error = error;
            m_isDone = true;
            m_wake.notify_all();
            // A failed write means that the pipe is full, and a full pipe wakes the loop already.
            static_cast<void>(::write(m_pipe[1], "", 1));
        }
    }

    storage::DataFolder& m_folder;
    std::function<void(std::exception_ptr)> m_onWritten;
    std::array<int, 2> m_pipe {};
    http::Watch m_watch;
    /// Accessed only by the thread of the event loop.
    bool m_isWriting = false;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<consensus::PendingWrite> m_writes;
    std::exception_ptr m_error;
    bool m_isDone = true;
    bool m_isStopping = false;
    std::thread m_thread;
};

DiskWriter::DiskWriter(
    http::EventLoop& loop, storage::DataFolder& folder, std::function<void(std::exception_ptr error)> onWritten)
    : m_impl(std::make_unique<Impl>(loop, folder, std::move(onWritten)))
{
}

DiskWriter::~DiskWriter() = default;

bool DiskWriter::isWriting() const { return m_impl->isWriting(); }

void DiskWriter::write(std::vector<consensus::PendingWrite> writes) { m_impl->write(std::move(writes)); }

std::exception_ptr DiskWriter::wait() { return m_impl->wait(); }

} // namespace crocuscove::replication
