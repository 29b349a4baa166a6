#include "crocuscove/maintenance/budget.h"

#include "crocuscove/maintenance/maintenance_view.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::maintenance {

namespace {

// Absorbs floating-point error, so that 90% of 10 stays 9 although 0.9 has no exact binary representation.
constexpr double roundingTolerance = 1e-9;

} // namespace

std::uint32_t requiredAvailable(std::uint32_t wanted, double minAvailablePercent)
{
    const double exact = wanted * std::clamp(minAvailablePercent, 0.0, 100.0) / 100.0;
    return static_cast<std::uint32_t>(std::ceil(exact - roundingTolerance));
}

ServiceBudget budgetOf(const document::ServiceDocument& document, std::uint32_t wanted)
{
    return { .service = document.service,
        .pool = document.pool.name,
        .wanted = wanted,
        .minAvailablePercent = document.minAvailablePercent,
        .failureDomain = document.pool.failureDomain };
}

BudgetCheck checkMaintenanceBudget(const document::ServiceDocument& document, bool hasSparePool)
{
    const auto& executors = document.pool.executors;
    const auto needsSpareVm
        = [&](std::uint32_t wanted) { return requiredAvailable(wanted, document.minAvailablePercent) >= wanted; };
    const auto allowsStop
        = [&](std::uint32_t wanted) { return !needsSpareVm(wanted) || (hasSparePool && wanted < executors.maximum); };
    BudgetCheck check { .verdict = BudgetVerdict::NeverAllowed, .needsSpareVm = needsSpareVm(executors.minimum) };
    bool isAlwaysAllowed = true;
    for (std::uint32_t wanted = executors.minimum; wanted <= executors.maximum; ++wanted) {
        if (allowsStop(wanted)) {
            check.largestWanted = wanted;
        } else {
            isAlwaysAllowed = false;
        }
    }
    if (check.largestWanted) {
        check.verdict = isAlwaysAllowed ? BudgetVerdict::Allowed : BudgetVerdict::AllowedBelowMaximum;
    }
    return check;
}

} // namespace crocuscove::maintenance
