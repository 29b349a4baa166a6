#pragma once

#include "crocuscove/base/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace crocuscove::storage {

enum class StorageFault : std::uint8_t {
    DiskFull,
    InputOutput,
    Corrupt,
    Locked,
    UnknownFormat,
    /// An earlier write or sync failed, so that what the disk holds is unknown until the folder is opened again.
    FailedBefore,
};

std::string_view storageFaultName(StorageFault fault);

/// Tells whether the fault may end by itself. The others need an operator.
bool isTemporary(StorageFault fault);

/// Failure of the data folder. The message names the fault, the file, the offset and the cause.
class StorageError : public base::Error {
public:
    StorageError(StorageFault fault, std::string file, std::uint64_t offset, std::string_view cause);

    [[nodiscard]] StorageFault fault() const { return m_fault; }
    [[nodiscard]] const std::string& file() const { return m_file; }
    [[nodiscard]] std::uint64_t offset() const { return m_offset; }

private:
    StorageFault m_fault;
    std::string m_file;
    std::uint64_t m_offset;
};

} // namespace crocuscove::storage
