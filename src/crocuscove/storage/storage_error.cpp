#include "crocuscove/storage/storage_error.h"

#include "crocuscove/base/enum_names.h"

#include <fmt/format.h>

#include <utility>

namespace crocuscove::storage {

namespace {

constexpr auto faultNames = base::enumNames<StorageFault>({
    { StorageFault::DiskFull, "disk-full" },
    { StorageFault::InputOutput, "input-output" },
    { StorageFault::Corrupt, "corrupt" },
    { StorageFault::Locked, "locked" },
    { StorageFault::UnknownFormat, "unknown-format" },
    { StorageFault::FailedBefore, "failed-before" },
});

} // namespace

std::string_view storageFaultName(StorageFault fault) { return faultNames.name(fault); }

bool isTemporary(StorageFault fault)
{
    return fault == StorageFault::DiskFull || fault == StorageFault::InputOutput || fault == StorageFault::FailedBefore;
}

StorageError::StorageError(StorageFault fault, std::string file, std::uint64_t offset, std::string_view cause)
    : base::Error(fmt::format("storage {}: {} at offset {}: {}", storageFaultName(fault), file, offset, cause))
    , m_fault(fault)
    , m_file(std::move(file))
    , m_offset(offset)
{
}

} // namespace crocuscove::storage
