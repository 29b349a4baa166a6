#include "crocuscove/state/state.h"

#include "crocuscove/base/error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <msgpack.hpp>
#include <set>

namespace crocuscove::state {
namespace {

using namespace std::chrono_literals;

std::string documentText(const std::string& service, int minimum)
{
    return "schema: crocuscove/v1\nkind: service\nservice: " + service
        + "\nteam: shops\npool:\n  name: main\n  executors: {min: " + std::to_string(minimum)
        + ", max: 12, spare: 1}\navailability:\n  minAvailablePercent: 50\nroutes:\n  - pathPrefix: /" + service
        + "\nrequests:\n  - name: all\n    pathPrefix: /\n    class: short\n    deadlineMs: 1000\n    idempotent: "
          "true\n";
}

PutDocument putDocument(const std::string& requestId, std::uint64_t expected, int minimum = 2)
{
    return { requestId, base::ServiceId("pricing"), expected, documentText("pricing", minimum) };
}

JobSpec jobSpec(const std::string& job, bool isIdempotent)
{
    return { base::JobId(job), base::TeamId("shops"), { 1, 1024, 0 }, isIdempotent, false, 10 };
}

ClaimIdempotencyKey claimKey(const std::string& requestId, std::uint64_t digest = 1)
{
    return { base::ServiceId("pricing"), "key", digest, base::NodeId("n1"), requestId, base::WallTime(1000ms) };
}

// Guards against two writers with equal expected revisions both believing that theirs is in force.
TEST(StateDocuments, OneOfTwoRacingWritersWins)
{
    State state;
    EXPECT_EQ(state.apply(1, putDocument("a", 0)).number, 1U);
    const auto second = state.apply(2, putDocument("b", 0, 3));
    EXPECT_EQ(second.code, ResultCode::Conflict);
    EXPECT_EQ(second.number, 1U);
    EXPECT_EQ(state.serviceDocument(base::ServiceId("pricing"))->pool.executors.minimum, 2U);
}

// Guards against a resend after a lost answer storing a second revision, or being told of a conflict with itself.
TEST(StateDocuments, ResendGetsTheFirstAnswer)
{
    State state;
    state.apply(1, putDocument("a", 0));
    state.apply(2, putDocument("b", 1, 3));
    const auto resent = state.apply(3, putDocument("a", 0));
    EXPECT_EQ(resent.code, ResultCode::Ok);
    EXPECT_EQ(resent.number, 1U);
    EXPECT_EQ(state.documents().at(base::ServiceId("pricing")).revision(), 2U);
}

// Guards against an invalid text replacing the document in force.
TEST(StateDocuments, InvalidTextChangesNothing)
{
    State state;
    state.apply(1, putDocument("a", 0));
    const auto result = state.apply(2, PutDocument { "b", base::ServiceId("pricing"), 1, "schema: [" });
    EXPECT_EQ(result.code, ResultCode::InvalidDocument);
    EXPECT_EQ(state.documents().at(base::ServiceId("pricing")).revision(), 1U);
}

// Guards against an entry that is delivered twice after a restart being applied twice.
TEST(StateApply, IgnoresOldIndexes)
{
    State state;
    state.apply(5, putDocument("a", 0));
    EXPECT_EQ(state.apply(5, putDocument("b", 1)).code, ResultCode::Repeated);
    EXPECT_EQ(state.documents().at(base::ServiceId("pricing")).revision(), 1U);
}

// Guards against a deposed leader moving a VM that has left its pool in the meantime.
TEST(StateVms, MoveNeedsTheExpectedPoolAndChangesItOnce)
{
    State state;
    const base::VmId vm("vm-1");
    state.apply(1,
        RegisterVm { vm, base::DataCentreId("dc-a"), base::RackId("r1"), { 64, 1024, 0 }, base::PoolId("spare"), {} });
    EXPECT_EQ(state.apply(2, MoveVm { vm, base::PoolId("other"), base::PoolId("main"), 0 }).code, ResultCode::Refused);
    EXPECT_EQ(state.apply(3, MoveVm { vm, base::PoolId("spare"), base::PoolId("main"), 0 }).code, ResultCode::Ok);
    EXPECT_EQ(state.apply(4, MoveVm { vm, base::PoolId("spare"), base::PoolId("other"), 0 }).code, ResultCode::Refused);
    EXPECT_EQ(state.vms().at(vm).pool, base::PoolId("spare"));
    state.apply(5, SetVmPhase { vm, VmPhase::Draining, VmPhase::Rebooting, VmReason::Move, 3, 0 });
    EXPECT_EQ(state.vms().at(vm).pool, base::PoolId("main"));
    state.apply(6, SetVmPhase { vm, VmPhase::Rebooting, VmPhase::Returning, VmReason::Move, 3, 0 });
    state.apply(7, SetVmPhase { vm, VmPhase::Returning, VmPhase::Serving, VmReason::None, 3, 0 });
    EXPECT_EQ(state.vms().at(vm).pool, base::PoolId("main"));
    EXPECT_EQ(state.vms().at(vm).operation, 0U);
}

// Guards against an abandoned drain that counts as maintenance, or that still moves the VM.
TEST(StateVms, AbandonedDrainChangesNeitherPoolNorMaintenance)
{
    State state;
    const base::VmId vm("vm-1");
    state.apply(1, RegisterVm { vm, base::DataCentreId("dc-a"), base::RackId("r1"), {}, base::PoolId("spare"), {} });
    state.apply(2, AdvanceTime { base::WallTime(5000ms) });
    state.apply(3, MoveVm { vm, base::PoolId("spare"), base::PoolId("main"), 0 });
    state.apply(4, SetVmPhase { vm, VmPhase::Draining, VmPhase::Serving, VmReason::None, 3, 0 });
    EXPECT_EQ(state.vms().at(vm).pool, base::PoolId("spare"));
    EXPECT_FALSE(state.vms().at(vm).moveTarget);
    EXPECT_EQ(state.vms().at(vm).lastMaintained, base::WallTime());
    EXPECT_EQ(state.vms().at(vm).phase, VmPhase::Serving);
}

// Guards against a VM that failed on its way to another pool and joins that pool after its repair.
TEST(StateVms, FailureCancelsAMove)
{
    State state;
    const base::VmId vm("vm-1");
    state.apply(1, RegisterVm { vm, base::DataCentreId("dc-a"), base::RackId("r1"), {}, base::PoolId("spare"), {} });
    state.apply(2, MoveVm { vm, base::PoolId("spare"), base::PoolId("main"), 0 });
    state.apply(3, SetVmPhase { vm, VmPhase::Draining, VmPhase::Lost, VmReason::Failure, 2, 0 });
    state.apply(4, SetVmPhase { vm, VmPhase::Lost, VmPhase::Returning, VmReason::Returned, 2, 0 });
    state.apply(5, SetVmPhase { vm, VmPhase::Returning, VmPhase::Serving, VmReason::Returned, 2, 0 });
    EXPECT_EQ(state.vms().at(vm).pool, base::PoolId("spare"));
    EXPECT_FALSE(state.vms().at(vm).moveTarget);
}

// Guards against a VM that leaves the pool of a document, or a drain, without a stop.
TEST(StateVms, AssignmentNeedsAPoolWithoutADocument)
{
    State state;
    const base::VmId vm("vm-1");
    const base::PoolId main("main");
    const base::PoolId unassigned("unassigned");
    state.apply(1, RegisterVm { vm, base::DataCentreId("dc-a"), base::RackId("r1"), {}, unassigned, {} });
    EXPECT_EQ(state.apply(2, AssignVm { vm, base::PoolId("other"), main }).code, ResultCode::Refused);
    state.apply(3, SetVmPhase { vm, VmPhase::Serving, VmPhase::Draining, VmReason::Maintenance, 0, 7 });
    EXPECT_EQ(state.apply(4, AssignVm { vm, unassigned, main }).code, ResultCode::Refused);
    state.apply(5, SetVmPhase { vm, VmPhase::Draining, VmPhase::Serving, VmReason::None, 3, 0 });
    EXPECT_EQ(state.apply(6, AssignVm { vm, unassigned, main }).code, ResultCode::Ok);
    EXPECT_EQ(state.vms().at(vm).pool, main);
    state.apply(7, putDocument("r1", 0));
    EXPECT_EQ(state.apply(8, AssignVm { vm, main, unassigned }).code, ResultCode::Refused);
    EXPECT_EQ(state.vms().at(vm).pool, main);
}

// Guards against a late phase change of a finished operation acting on the next one.
TEST(StateVms, PhaseChangeOfAnOldOperationIsRefused)
{
    State state;
    const base::VmId vm("vm-1");
    state.apply(1, RegisterVm { vm, base::DataCentreId("dc-a"), base::RackId("r1"), {}, base::PoolId("main"), {} });
    state.apply(2, SetVmPhase { vm, VmPhase::Serving, VmPhase::Draining, VmReason::Maintenance, 0, 7 });
    EXPECT_EQ(state.vms().at(vm).operation, 2U);
    EXPECT_EQ(state.vms().at(vm).bootsAtDrain, 7U);
    EXPECT_EQ(
        state.apply(3, SetVmPhase { vm, VmPhase::Draining, VmPhase::Rebooting, VmReason::Maintenance, 1, 0 }).code,
        ResultCode::Refused);
}

// Guards against a non-idempotent job that runs a second time after its worker's lease expired.
TEST(StateJobs, NonIdempotentJobIsLostAndNeverStartedAgain)
{
    State state;
    state.apply(1, SubmitJob { jobSpec("j1", false) });
    state.apply(2, StartJob { base::JobId("j1"), base::WorkerId("w1"), 1 });
    state.apply(3, ExpireLease { base::JobId("j1"), 2 });
    EXPECT_EQ(state.jobs().at(base::JobId("j1")).state, JobState::Lost);
    EXPECT_EQ(state.apply(4, StartJob { base::JobId("j1"), base::WorkerId("w2"), 1 }).code, ResultCode::Refused);
}

// Guards against a worker whose lease expired completing a job that another worker runs by now.
TEST(StateJobs, OldTokenCannotFinishAJob)
{
    State state;
    state.apply(1, SubmitJob { jobSpec("j1", true) });
    state.apply(2, StartJob { base::JobId("j1"), base::WorkerId("w1"), 1 });
    state.apply(3, ExpireLease { base::JobId("j1"), 2 });
    state.apply(4, StartJob { base::JobId("j1"), base::WorkerId("w2"), 1 });
    EXPECT_EQ(state.apply(5, FinishJob { base::JobId("j1"), 2, JobState::Done, false, "" }).code, ResultCode::Refused);
    EXPECT_EQ(state.apply(6, FinishJob { base::JobId("j1"), 4, JobState::Done, false, "" }).code, ResultCode::Ok);
}

// Guards against a request that is dispatched twice because two entry nodes held the same key.
TEST(StateClaims, KeyIsHeldByOneRequest)
{
    State state;
    EXPECT_EQ(state.apply(1, claimKey("r1")).code, ResultCode::Ok);
    EXPECT_EQ(state.apply(2, claimKey("r2")).code, ResultCode::InProgress);
    EXPECT_EQ(state.apply(3, claimKey("r2", 9)).code, ResultCode::BodyMismatch);
    state.apply(
        4, SettleIdempotencyKey { base::ServiceId("pricing"), "key", "r1", true, false, { 201, "text/plain", "x" } });
    const auto resent = state.apply(5, claimKey("r2"));
    EXPECT_EQ(resent.code, ResultCode::StoredAnswerFound);
    EXPECT_EQ(resent.answer.status, 201);
}

// Guards against a claim of a dead entry node that stays "in progress" for ever, or that becomes free and runs again.
TEST(StateClaims, UnsettledClaimBecomesUnknown)
{
    State state;
    state.apply(1, claimKey("r1"));
    state.apply(2, AdvanceTime { base::WallTime(2000ms) });
    EXPECT_EQ(state.apply(3, claimKey("r2")).code, ResultCode::OutcomeUnknown);
    state.apply(4, AdvanceTime { base::WallTime(2000ms + 48h) });
    EXPECT_TRUE(state.claims().empty());
}

// Guards against two leaders' changes of the entry nodes both counting, and against base shares of different sizes.
TEST(StateEntryNodes, ChangeNeedsTheNumberInForceAndKeepsTheShare)
{
    State state;
    EXPECT_EQ(state.apply(1, SetEntryNodes { 0, { base::NodeId("n1"), base::NodeId("n2") }, 6 }).code, ResultCode::Ok);
    EXPECT_EQ(state.apply(2, SetEntryNodes { 0, { base::NodeId("n2") }, 6 }).code, ResultCode::Refused);
    EXPECT_EQ(state.apply(3, SetEntryNodes { 1, { base::NodeId("n2") }, 2 }).code, ResultCode::Ok);
    EXPECT_EQ(state.entryNodes().number, 3U);
    EXPECT_EQ(state.entryNodes().shareNodes, 6U);
}

// Guards against a node that knows no entry nodes after it restored a snapshot, and refuses every later change of them.
TEST(StateEntryNodes, SnapshotKeepsThem)
{
    State state;
    state.apply(1, SetEntryNodes { 0, { base::NodeId("n1"), base::NodeId("n2") }, 6 });
    State restored;
    restored.restoreSnapshot(state.encodeSnapshot());
    EXPECT_EQ(restored.entryNodes().number, 1U);
    EXPECT_EQ(restored.entryNodes().shareNodes, 6U);
    EXPECT_EQ(restored.apply(2, SetEntryNodes { 1, { base::NodeId("n2") }, 6 }).code, ResultCode::Ok);
}

// Guards against a grantor that takes itself for the first one after a snapshot of version 1, which lacks the entry
// nodes.
TEST(StateEntryNodes, SnapshotOfVersion1LeavesThemUnknown)
{
    const std::map<std::string, std::string> none;
    msgpack::sbuffer bytes;
    msgpack::packer packer(bytes);
    packer.pack_array(9);
    packer.pack(1U);
    packer.pack(7U);
    packer.pack(5000);
    for (int map = 0; map < 5; ++map) {
        packer.pack(none);
    }
    packer.pack_array(0);
    State state;
    state.restoreSnapshot({ bytes.data(), bytes.size() });
    EXPECT_EQ(state.appliedIndex(), 7U);
    EXPECT_EQ(state.apply(8, SetEntryNodes { 0, { base::NodeId("n1") }, 6 }).code, ResultCode::Ok);
    EXPECT_FALSE(state.entryNodes().isFirst);
}

// Guards against a restarted process that counts as the first one of its node, whose base share nobody else has.
TEST(StateEntryNodes, FirstProcessOfANodeStays)
{
    using Processes = std::map<base::NodeId, std::uint64_t>;
    const base::NodeId first("n1");
    const base::NodeId second("n2");
    const base::NodeId third("n3");
    State state;
    state.apply(1, SetEntryProcesses { 0, { { first, 11 } }, 2 });
    state.apply(2, SetEntryProcesses { 1, { { first, 12 }, { second, 21 }, { third, 31 } }, 2 });
    EXPECT_EQ(state.entryNodes().nodes, (std::vector { first, second, third }));
    // The third node is one more than the divisor of the shares counts.
    EXPECT_EQ(state.entryNodes().firstProcesses, (Processes { { first, 11 }, { second, 21 }, { third, 0 } }));
    state.apply(3, SetEntryNodes { 2, { second }, 2 });
    state.apply(4, SetEntryProcesses { 3, { { first, 13 }, { second, 22 } }, 2 });
    EXPECT_EQ(state.entryNodes().firstProcesses, (Processes { { first, 11 }, { second, 21 }, { third, 0 } }));
    EXPECT_EQ(state.apply(5, SetEntryProcesses { 3, { { first, 13 } }, 2 }).code, ResultCode::Refused);
}

// Guards against a new leader with a slow clock that makes replicated time run backward.
TEST(StateTime, NeverGoesBack)
{
    State state;
    state.apply(1, AdvanceTime { base::WallTime(5000ms) });
    state.apply(2, AdvanceTime { base::WallTime(4000ms) });
    EXPECT_EQ(state.now(), base::WallTime(5000ms));
}

rc::Gen<Command> arbitraryCommand()
{
    return rc::gen::exec([]() -> Command {
        const auto number = *rc::gen::inRange(0, 4);
        const base::VmId vm("vm-" + std::to_string(number));
        const base::JobId job("job-" + std::to_string(number));
        const auto index = static_cast<std::uint64_t>(*rc::gen::inRange(0, 60));
        const auto phase = static_cast<VmPhase>(*rc::gen::inRange(0, 5));
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            return putDocument("r" + std::to_string(*rc::gen::inRange(0, 20)), index % 4);
        case 1:
            return RegisterVm { vm, base::DataCentreId("dc"), base::RackId("r"), { 1, 2, 3 }, base::PoolId("main"),
                {} };
        case 2:
            return MoveVm { vm, base::PoolId("main"), base::PoolId("other"), 0 };
        case 3:
            return SetVmPhase { vm, static_cast<VmPhase>(*rc::gen::inRange(0, 5)), phase, VmReason::Maintenance, index,
                0 };
        case 4:
            return SubmitJob { jobSpec(job.text(), number % 2 == 0) };
        case 5:
            return StartJob { job, base::WorkerId("w1"), 1 };
        case 6:
            return ExpireLease { job, index };
        case 7:
            return claimKey("r" + std::to_string(number));
        case 8:
            return AssignVm { vm, base::PoolId("main"), base::PoolId("other") };
        case 9:
            return SetEntryNodes { index % 2, { base::NodeId("n" + std::to_string(number)) }, 6 };
        case 10:
            return AdvanceTime { base::WallTime(std::chrono::milliseconds(index * 100)) };
        default:
            return FinishJob { job, index, static_cast<JobState>(*rc::gen::inRange(0, 4)), true, "" };
        }
    });
}

// Guards against replicas that differ after equal entries, and against a snapshot that loses or changes anything.
RC_GTEST_PROP(StateProperty, ReplicasAndSnapshotsAgree, ())
{
    const auto commands = *rc::gen::container<std::vector<Command>>(60, arbitraryCommand());
    State first;
    State second;
    const auto cut = *rc::gen::inRange<std::size_t>(0, commands.size());
    for (std::size_t i = 0; i < commands.size(); ++i) {
        if (i == cut) {
            second = State();
            second.restoreSnapshot(first.encodeSnapshot());
        }
        const auto result = first.apply(i + 1, decodeCommand(encodeCommand(commands[i])));
        RC_ASSERT(second.apply(i + 1, commands[i]).code == result.code);
    }
    RC_ASSERT(first.digest() == second.digest());
}

// Guards against a second start of a non-idempotent job under any order of commands.
RC_GTEST_PROP(StateProperty, NonIdempotentJobsStartAtMostOnce, ())
{
    const auto commands = *rc::gen::container<std::vector<Command>>(80, arbitraryCommand());
    State state;
    std::uint64_t index = 0;
    std::ranges::for_each(commands, [&](const Command& command) { state.apply(++index, command); });
    RC_ASSERT(std::ranges::all_of(
        state.jobs(), [](const auto& entry) { return entry.second.spec.isIdempotent || entry.second.starts <= 1; }));
}

// Guards against a corrupted entry or snapshot that crashes a node, or that changes the state before it is refused.
RC_GTEST_PROP(StateProperty, MutatedBytesAreRefusedOrDecoded, ())
{
    State state;
    state.apply(1, putDocument("a", 0));
    state.apply(2, SubmitJob { jobSpec("j1", true) });
    auto snapshot = state.encodeSnapshot();
    auto entry = encodeCommand(putDocument("a", 0));
    for (std::string* bytes : { &snapshot, &entry }) {
        (*bytes)[*rc::gen::inRange<std::size_t>(0, bytes->size())] = *rc::gen::arbitrary<char>();
    }
    const auto before = state.digest();
    try {
        State scratch = state;
        scratch.restoreSnapshot(snapshot);
    } catch (const base::Error&) {
        RC_ASSERT(state.digest() == before);
    }
    try {
        decodeCommand(entry);
    } catch (const base::Error&) {
        RC_SUCCEED("refused");
    }
}

} // namespace
} // namespace crocuscove::state
