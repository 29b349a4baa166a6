#pragma once

#include "system.h"

namespace review {

using Case = std::function<int(System& system, bool hasTrouble)>;

/// The cases by name.
const std::map<std::string, Case>& cases();

} // namespace review
