#pragma once

#include "pools.h"

namespace crocuscove::capacity {

/// Sizes the spare pool for the loss of any one failure domain, for the error of the reports and for demand above the
/// capacity of the pools, each jointly over the services.
BufferPlan sizeBuffer(const Fleet& fleet);

} // namespace crocuscove::capacity
