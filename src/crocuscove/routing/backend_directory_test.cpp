#include "crocuscove/routing/backend_directory.h"

#include "crocuscove/base/error.h"
#include "crocuscove/routing/test_support.h"

#include <gtest/gtest.h>

namespace crocuscove::routing {
namespace {

using testing::announcement;
using testing::at;

const base::ServiceId pricing("pricing");

BackendPhase phaseOf(const BackendDirectory& directory, const std::string& backend)
{
    for (const auto& view : directory.views(pricing)) {
        if (view.backend.text() == backend) {
            return view.phase;
        }
    }
    throw base::Error("not listed: " + backend);
}

std::vector<PhaseChange> fail(BackendDirectory& directory, base::MonotonicTime now, const std::string& backend)
{
    std::vector<PhaseChange> changes;
    for (std::uint32_t i = 0; i < DirectoryOptions().consecutiveFailuresToEject; ++i) {
        std::ranges::copy(
            directory.observe(now, base::BackendId(backend), AttemptEnd::ServerError), std::back_inserter(changes));
    }
    return changes;
}

// Guards against a delayed message of an earlier start, or an earlier message, undoing a later one.
TEST(BackendDirectory, RefusesOldIncarnationAndSequence)
{
    BackendDirectory directory;
    EXPECT_EQ(directory.merge(at(0), announcement("b1", 2, 5)).reason, MergeReason::Added);
    EXPECT_EQ(directory.merge(at(1), announcement("b1", 1, 9)).reason, MergeReason::StaleIncarnation);
    EXPECT_EQ(directory.merge(at(1), announcement("b1", 2, 5)).reason, MergeReason::StaleSequence);
    EXPECT_EQ(directory.merge(at(1), announcement("b1", 2, 6)).reason, MergeReason::Renewed);
    EXPECT_EQ(directory.merge(at(2), announcement("b1", 3, 1)).reason, MergeReason::Restarted);
}

// Guards against an expired backend server coming back through gossip of its earlier start.
TEST(BackendDirectory, ExpiresAndRemembersIncarnation)
{
    BackendDirectory directory;
    directory.merge(at(0), announcement("b1", 2, 5));
    EXPECT_TRUE(directory.tick(at(2999)).empty());
    const auto changes = directory.tick(at(3000));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].reason, PhaseReason::LeaseExpired);
    EXPECT_TRUE(directory.views(pricing).empty());
    EXPECT_EQ(directory.merge(at(3001), announcement("b1", 1, 7)).reason, MergeReason::StaleIncarnation);
    EXPECT_EQ(directory.announce(at(3001), announcement("b1", 2, 0)).reason, MergeReason::Added);
}

// Guards against a crossing announcement putting a leaving backend server back into service.
TEST(BackendDirectory, KeepsLeavingForIncarnation)
{
    BackendDirectory directory;
    directory.merge(at(0), announcement("b1", 1, 1));
    auto leaving = announcement("b1", 1, 1);
    leaving.state = BackendState::Leaving;
    EXPECT_TRUE(directory.merge(at(1), leaving).isNewlyLeaving);
    EXPECT_FALSE(directory.merge(at(2), announcement("b1", 1, 2)).isNewlyLeaving);
    EXPECT_EQ(phaseOf(directory, "b1"), BackendPhase::Leaving);
}

// Guards against a stop that cuts off a request which another entry node still sends or runs.
TEST(BackendDirectory, MayStopOnlyWhenLearnedAndEmpty)
{
    BackendDirectory directory;
    const base::BackendId backend("b1");
    EXPECT_EQ(directory.mayStop(at(0), backend, 0), StopReason::UnknownBackend);
    auto one = announcement("b1", 1, 0);
    directory.announce(at(0), one);
    EXPECT_EQ(directory.mayStop(at(0), backend, 0), StopReason::NotLeaving);
    one.state = BackendState::Leaving;
    one.inFlight = 1;
    directory.announce(at(10), one);
    EXPECT_EQ(directory.mayStop(at(2009), backend, 0), StopReason::Propagating);
    EXPECT_EQ(directory.mayStop(at(2010), backend, 0), StopReason::InFlight);
    one.inFlight = 0;
    directory.announce(at(2020), one);
    EXPECT_EQ(directory.mayStop(at(2020), backend, 1), StopReason::InFlight);
    EXPECT_EQ(directory.mayStop(at(2020), backend, 0), StopReason::MayStop);
}

// Guards against ejecting the capacity a service still needs when most backend servers fail together.
TEST(BackendDirectory, EjectsAtMostHalf)
{
    BackendDirectory directory;
    for (const auto* name : { "b1", "b2", "b3", "b4", "b5" }) {
        directory.merge(at(0), announcement(name, 1, 1));
    }
    std::size_t ejected = 0;
    for (const auto* name : { "b1", "b2", "b3", "b4", "b5" }) {
        ejected += fail(directory, at(1), name).size();
    }
    EXPECT_EQ(ejected, 2U);
}

// Guards against a backend server that recovers staying out, and against full load right after its return.
TEST(BackendDirectory, ProbesAndReturnsWithSlowStart)
{
    BackendDirectory directory;
    directory.merge(at(0), announcement("b1", 1, 1));
    directory.merge(at(0), announcement("b2", 1, 1));
    ASSERT_EQ(fail(directory, at(1), "b1").size(), 1U);
    EXPECT_EQ(phaseOf(directory, "b1"), BackendPhase::Ejected);
    directory.tick(at(1001));
    EXPECT_EQ(phaseOf(directory, "b1"), BackendPhase::Probing);
    directory.observe(at(1002), base::BackendId("b1"), AttemptEnd::Broken);
    EXPECT_EQ(phaseOf(directory, "b1"), BackendPhase::Ejected);
    // The second ejection lasts twice as long.
    directory.merge(at(2500), announcement("b1", 1, 2));
    directory.merge(at(2500), announcement("b2", 1, 2));
    directory.tick(at(3001));
    EXPECT_EQ(phaseOf(directory, "b1"), BackendPhase::Ejected);
    directory.tick(at(3002));
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(phaseOf(directory, "b1"), BackendPhase::Probing);
        directory.observe(at(3003), base::BackendId("b1"), AttemptEnd::Answered);
    }
    EXPECT_EQ(phaseOf(directory, "b1"), BackendPhase::SlowStart);
}

// Guards against a backend server that restarts all the time taking full load after each start.
TEST(BackendDirectory, EjectsFlapping)
{
    BackendDirectory directory;
    directory.merge(at(0), announcement("b1", 1, 1));
    directory.merge(at(0), announcement("b2", 1, 1));
    directory.merge(at(100), announcement("b1", 2, 1));
    directory.merge(at(200), announcement("b1", 3, 1));
    EXPECT_EQ(phaseOf(directory, "b1"), BackendPhase::SlowStart);
    directory.merge(at(300), announcement("b1", 4, 1));
    EXPECT_EQ(phaseOf(directory, "b1"), BackendPhase::Ejected);
}

} // namespace
} // namespace crocuscove::routing
