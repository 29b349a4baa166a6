#pragma once

#include "pools.h"

namespace crocuscove::capacity {

/// Selects the VMs to move and updates the pools of `fleet` accordingly.
std::vector<VmMove> planMoves(Fleet& fleet, const BufferPlan& buffer);

} // namespace crocuscove::capacity
