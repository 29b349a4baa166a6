#pragma once

#include "pools.h"

namespace crocuscove::capacity {

/// Chooses the moves. Counts each one in the pools of `fleet`.
std::vector<VmMove> planMoves(Fleet& fleet, const BufferPlan& buffer);

} // namespace crocuscove::capacity
