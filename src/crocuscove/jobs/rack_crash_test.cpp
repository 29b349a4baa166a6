#include "crocuscove/jobs/rack_crash.h"

#include <gtest/gtest.h>

namespace crocuscove::jobs {
namespace {

base::MonotonicTime at(std::int64_t ms) { return base::MonotonicTime(base::Milliseconds(ms)); }

/// A worker of the service "pool" on the rack "r1" that answers.
WorkerContact contact(WorkerNumber worker) { return { worker, "pool", "r1", at(0), std::nullopt }; }

WorkerContact silent(WorkerNumber worker, std::int64_t silentMs)
{
    WorkerContact result = contact(worker);
    result.silentSince = at(silentMs);
    return result;
}

// Guards against tasks that are blamed for the crash of their rack.
TEST(RackCrashTest, WorkersThatFellSilentTogetherCrashedWithTheirRack)
{
    EXPECT_TRUE(isRackCrash(silent(1, 5'300), { silent(2, 5'310), silent(3, 6'200) }));
    EXPECT_TRUE(isRackCrash(silent(1, 5'300), { silent(1, 5'300), silent(2, 6'250) }));
}

// Guards against a task that is never blamed because other workers, of its rack or another, have crashed too.
TEST(RackCrashTest, ACrashOfAPartOfARackIsNotTheRacks)
{
    const WorkerContact crashed = silent(1, 5'300);
    EXPECT_FALSE(isRackCrash(contact(1), { silent(2, 5'310) })) << "it never fell silent";
    EXPECT_FALSE(isRackCrash(crashed, {}));
    EXPECT_FALSE(isRackCrash(crashed, { crashed })) << "itself";
    EXPECT_FALSE(isRackCrash(crashed, { contact(2) }));
    EXPECT_FALSE(isRackCrash(crashed, { silent(2, 5'310), contact(3) }));
    EXPECT_FALSE(isRackCrash(crashed, { silent(2, 5'310), silent(3, 8'100) })) << "it crashed later";
    EXPECT_FALSE(isRackCrash(crashed, { silent(2, 1'200) })) << "it crashed before";
    WorkerContact elsewhere = silent(2, 5'310);
    elsewhere.rack = "r2";
    EXPECT_FALSE(isRackCrash(crashed, { elsewhere }));
    WorkerContact ofOtherService = silent(2, 5'310);
    ofOtherService.service = "other";
    EXPECT_FALSE(isRackCrash(crashed, { ofOtherService }));
    WorkerContact unlabelled = crashed;
    unlabelled.rack.clear();
    elsewhere.rack.clear();
    EXPECT_FALSE(isRackCrash(unlabelled, { elsewhere })) << "workers without a rack";
}

// Guards against a task that is never blamed because tasks of its kind crash the other workers of each rack in step.
TEST(RackCrashTest, WorkersThatEachRanASuspectedTaskDidNotCrashWithTheirRack)
{
    WorkerContact crashed = silent(1, 5'300);
    WorkerContact beside = silent(2, 5'310);
    crashed.hasSuspectedTask = true;
    EXPECT_TRUE(isRackCrash(crashed, { beside })) << "nothing else explains the crash of the other one";
    beside.hasSuspectedTask = true;
    EXPECT_FALSE(isRackCrash(crashed, { beside }));
    EXPECT_TRUE(isRackCrash(crashed, { beside, silent(3, 5'320) }));
    crashed.hasSuspectedTask = false;
    EXPECT_TRUE(isRackCrash(crashed, { beside }));
}

// Guards against a worker whose earlier incarnation counts as a worker beside it.
TEST(RackCrashTest, AWorkerThatCameAfterACrashDidNotCrashWithIt)
{
    WorkerContact back = contact(4);
    back.knownSince = at(5'500);
    EXPECT_TRUE(isRackCrash(silent(1, 5'300), { silent(2, 5'310), back }));
    back.silentSince = at(5'800);
    EXPECT_FALSE(isRackCrash(back, { silent(1, 5'300) }));
}

} // namespace
} // namespace crocuscove::jobs
