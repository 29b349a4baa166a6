#pragma once

#include "pools.h"

namespace crocuscove::capacity {

/// Computes the size of the spare pool that covers the loss of any one failure domain, the error of the load reports
/// and demand above the capacity of the pools, each shared by all services.
BufferPlan sizeBuffer(const Fleet& fleet);

} // namespace crocuscove::capacity
