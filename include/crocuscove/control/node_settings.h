#pragma once

#include "crocuscove/base/settings.h"

#include <cstdint>
#include <vector>

namespace crocuscove::control {

/// Returns the setting --internal-port, the port between our own nodes.
base::Setting internalPortSetting(std::uint16_t& target);

/// Returns the setting --seeds, addresses of some control nodes.
base::Setting seedsSetting(std::vector<base::Endpoint>& target);

} // namespace crocuscove::control
