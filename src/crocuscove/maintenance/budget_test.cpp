#include "crocuscove/maintenance/budget.h"

#include <gtest/gtest.h>

namespace crocuscove::maintenance {
namespace {

document::ServiceDocument documentWith(std::uint32_t minimum, std::uint32_t maximum, double minAvailablePercent)
{
    document::ServiceDocument document;
    document.pool.executors = { .minimum = minimum, .maximum = maximum, .spare = 0 };
    document.minAvailablePercent = minAvailablePercent;
    return document;
}

// Guards against rounding that allows one stop too many, or one too few when the percentage gives a whole number.
TEST(Budget, RequiredExecutorsAreRoundedUp)
{
    EXPECT_EQ(requiredAvailable(10, 90.0), 9U);
    EXPECT_EQ(requiredAvailable(8, 90.0), 8U);
    EXPECT_EQ(requiredAvailable(30, 70.0), 21U);
    EXPECT_EQ(requiredAvailable(12, 100.0), 12U);
    EXPECT_EQ(requiredAvailable(12, 0.0), 0U);
    EXPECT_EQ(requiredAvailable(0, 90.0), 0U);
}

// Guards against accepting a document whose budget permanently blocks maintenance without a warning.
TEST(Budget, NoStopIsPossibleWhenEveryExecutorMustStayAndNoSpareVmFits)
{
    const BudgetCheck check = checkMaintenanceBudget(documentWith(8, 8, 100.0));
    EXPECT_EQ(check.verdict, BudgetVerdict::NeverAllowed);
    EXPECT_EQ(check.largestWanted, std::nullopt);
}

TEST(Budget, ASpareVmAllowsAStopBelowTheMaximum)
{
    const BudgetCheck withSparePool = checkMaintenanceBudget(documentWith(8, 12, 100.0));
    EXPECT_EQ(withSparePool.verdict, BudgetVerdict::AllowedBelowMaximum);
    EXPECT_EQ(withSparePool.largestWanted, 11U);
    EXPECT_TRUE(withSparePool.needsSpareVm);
    EXPECT_EQ(checkMaintenanceBudget(documentWith(8, 12, 100.0), false).verdict, BudgetVerdict::NeverAllowed);
}

TEST(Budget, TheExampleDocumentAllowsMaintenance)
{
    const BudgetCheck check = checkMaintenanceBudget(documentWith(8, 12, 90.0));
    EXPECT_EQ(check.verdict, BudgetVerdict::Allowed);
    EXPECT_TRUE(check.needsSpareVm);
    EXPECT_FALSE(checkMaintenanceBudget(documentWith(10, 12, 90.0)).needsSpareVm);
}

} // namespace
} // namespace crocuscove::maintenance
