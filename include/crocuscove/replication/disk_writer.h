#pragma once

#include "crocuscove/consensus/write_queue.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/storage/data_folder.h"

#include <exception>
#include <functional>
#include <memory>
#include <vector>

namespace crocuscove::replication {

/// Writes to a data folder on a dedicated thread, so that the event loop doesn't block on the disk. While a write is in
/// progress, nothing else may change the folder.
class DiskWriter {
public:
    /// `onWritten` runs on the loop after each write that wait() did not wait for; `error` is null on success.
    DiskWriter(
        http::EventLoop& loop, storage::DataFolder& folder, std::function<void(std::exception_ptr error)> onWritten);
    /// Waits for the write in progress.
    ~DiskWriter();
    DiskWriter(const DiskWriter&) = delete;
    DiskWriter& operator=(const DiskWriter&) = delete;

    [[nodiscard]] bool isWriting() const;

    /// Starts a write with one sync. No other may be in progress.
    void write(std::vector<consensus::PendingWrite> writes);

    /// Waits until the write in progress has ended, and returns its error.
    std::exception_ptr wait();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuscove::replication
