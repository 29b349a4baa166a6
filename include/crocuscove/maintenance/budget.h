#pragma once

#include "crocuscove/document/service_document.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace crocuscove::maintenance {

/// Returns how many of `wanted` executors must stay available, rounded up.
std::uint32_t requiredAvailable(std::uint32_t wanted, double minAvailablePercent);

/// Whether the availability budget of a service document permits planned stops.
enum class BudgetVerdict {
    /// A stop is possible at every number of executors wanted.
    Allowed,
    /// A stop is possible only while the service wants fewer executors than its maximum.
    AllowedBelowMaximum,
    /// No stop is possible at any number of executors wanted.
    NeverAllowed,
};

std::string_view budgetVerdictName(BudgetVerdict verdict);

/// Result of checkMaintenanceBudget().
struct BudgetCheck {
    BudgetVerdict verdict = BudgetVerdict::Allowed;
    /// Largest number of wanted executors at which a stop is possible.
    std::optional<std::uint32_t> largestWanted {};
    /// Whether the pool needs an extra VM from the spare pool before one can stop, at the smallest number of wanted
    /// executors.
    bool needsSpareVm = false;
};

/// Checks whether the budget allows a VM to stop. If there is a spare pool, the pool may borrow one VM from it above
/// the executors wanted, up to the maximum.
BudgetCheck checkMaintenanceBudget(const document::ServiceDocument& document, bool hasSparePool = true);

} // namespace crocuscove::maintenance
