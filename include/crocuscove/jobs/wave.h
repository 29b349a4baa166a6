#pragma once

#include "crocuscove/base/codec_fields.h"

#include <cstdint>
#include <map>
#include <string>

namespace crocuscove::jobs {

enum class WaveVmPhase : std::uint8_t {
    Waiting,
    /// The platform has confirmed the maintenance order.
    Done,
    /// An order was committed to be sent, and may be carried out until the platform has answered it.
    Ordered,
};

/// A batch of VMs that are due for maintenance.
struct Wave {
    std::uint64_t id = 0;
    /// Maximum number of VMs under maintenance at the same time.
    std::uint32_t maxConcurrent = 1;
    /// When the maintenance of all VMs must be complete, in Unix milliseconds.
    std::int64_t dueMs = 0;
    std::map<std::string, WaveVmPhase> vms;

    [[nodiscard]] bool isDone() const;
};

CROCUSCOVE_FIELDS(Wave, v.id, v.maxConcurrent, v.dueMs, v.vms)

} // namespace crocuscove::jobs
