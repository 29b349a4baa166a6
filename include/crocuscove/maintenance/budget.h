#pragma once

#include "crocuscove/document/service_document.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace crocuscove::maintenance {

/// Returns how many of `wanted` executors must stay available.
std::uint32_t requiredAvailable(std::uint32_t wanted, double minAvailablePercent);

/// Whether maintenance can proceed under the budget of a document.
enum class BudgetVerdict {
    /// A stop is possible at every number of executors wanted.
    Allowed,
    /// A stop is possible only while the service wants fewer executors than its maximum.
    AllowedBelowMaximum,
    /// No stop is possible at any number of executors wanted.
    NeverAllowed,
};

std::string_view budgetVerdictName(BudgetVerdict verdict);

struct BudgetCheck {
    BudgetVerdict verdict = BudgetVerdict::Allowed;
    /// Largest number of wanted executors at which a stop is possible.
    std::optional<std::uint32_t> largestWanted {};
    /// At the smallest number of wanted executors, a VM must be lent before one can stop.
    bool needsLentVm = false;
};

/// Tells whether the budget leaves room to stop a VM. A pool may hold one lent VM above the executors wanted, up to
/// the maximum, if the spare pool has one.
BudgetCheck budgetAllowsMaintenance(const document::ServiceDocument& document, bool hasSparePool = true);

} // namespace crocuscove::maintenance
