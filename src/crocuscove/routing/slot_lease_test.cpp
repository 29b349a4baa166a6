#include "crocuscove/routing/slot_grantor.h"
#include "crocuscove/routing/slot_holder.h"

#include "crocuscove/routing/test_support.h"

#include <gtest/gtest.h>

#include <map>

namespace crocuscove::routing {
namespace {

using testing::at;

const base::ServiceId pricing("pricing");
const base::BackendId backend("b1");

/// Six entry nodes and one backend server with eight slots. Messages are delivered immediately.
class SlotLease : public ::testing::Test {
protected:
    SlotLease()
    {
        m_epoch.number = 1;
        m_epoch.shareNodes = 6;
        for (int i = 0; i < 6; ++i) {
            m_epoch.nodes.emplace_back("n" + std::to_string(i));
            m_epoch.firstProcesses.emplace(m_epoch.nodes.back(), 1);
        }
        for (const auto& node : m_epoch.nodes) {
            m_holders.emplace(node, SlotHolder(node, 1));
            m_holders.at(node).updateEpoch(m_epoch);
            m_holders.at(node).updateBackendViews(pricing, { m_view });
        }
        m_grantor.updateEpoch(at(0), m_epoch);
        m_grantor.updateBackendViews(at(0), { m_view });
        m_grantor.report(backend, 0, 0, at(10000));
        m_now = 10000;
    }

    void round(const std::map<base::NodeId, std::uint32_t>& demands, const std::string& silent = "")
    {
        m_now += 50;
        m_grantor.confirmEpoch(1, at(m_now));
        for (auto& [node, holder] : m_holders) {
            holder.recordUsage(at(m_now), backend, inFlight[node], demands.contains(node) ? demands.at(node) : 0);
            for (const auto& demand : holder.takeDemands(at(m_now))) {
                if (node.text() != silent) {
                    m_grantor.receive(at(m_now), demand);
                }
            }
        }
        for (const auto& grant : m_grantor.takeGrants(at(m_now))) {
            if (grant.holder.text() != silent) {
                m_holders.at(grant.holder).receive(at(m_now), grant);
            }
        }
    }

    void rounds(int count, const std::map<base::NodeId, std::uint32_t>& demands, const std::string& silent = "")
    {
        for (int i = 0; i < count; ++i) {
            round(demands, silent);
        }
    }

    std::uint32_t limit(const base::NodeId& node)
    {
        const auto limits = m_holders.at(node).limits(pricing);
        return at(m_now) < limits.at(0).deadline ? limits.at(0).limit : limits.at(0).limitAfterDeadline;
    }

    BackendView m_view = testing::view("b1", 8);
    EntryEpoch m_epoch;
    std::map<base::NodeId, SlotHolder> m_holders;
    const base::NodeId m_grantorId = grantorOf(epochOfSix(), backend);
    SlotGrantor m_grantor { m_grantorId, 1 };
    std::map<base::NodeId, std::uint32_t> inFlight;
    std::int64_t m_now = 0;

private:
    static EntryEpoch epochOfSix()
    {
        EntryEpoch epoch;
        for (int i = 0; i < 6; ++i) {
            epoch.nodes.emplace_back("n" + std::to_string(i));
        }
        return epoch;
    }
};

// Guards against slots that stay unused while work is queued on one node.
TEST_F(SlotLease, LendsToTheNodeWithWork)
{
    const base::NodeId busy("n2");
    rounds(40, { { busy, 8 } });
    // With one backend server in the service every other node keeps its base share there.
    EXPECT_EQ(limit(busy), 3U);
}

// Guards against a node without a slot when it gets work again.
TEST_F(SlotLease, TakesBackForNewDemand)
{
    const base::NodeId first("n0");
    const base::NodeId second("n1");
    rounds(40, { { first, 8 } });
    rounds(4, { { first, 8 }, { second, 8 } });
    EXPECT_EQ(limit(first), 2U);
    EXPECT_EQ(limit(second), 2U);
}

// Guards against a partitioned node that keeps using leased slots or loses its base share.
TEST_F(SlotLease, EndsLeasesButKeepsBaseShare)
{
    const base::NodeId node("n3");
    rounds(40, { { node, 8 } });
    ASSERT_EQ(limit(node), 3U);
    rounds(21, { { node, 8 } }, "n3");
    EXPECT_EQ(limit(node), 1U);
}

// Guards against leasing out a slot again while a partitioned node still runs a request in it.
TEST_F(SlotLease, WaitsForTheReportBeforeLeasingAgain)
{
    const base::NodeId lost("n3");
    const base::NodeId other("n4");
    rounds(40, { { lost, 8 } });
    inFlight[lost] = 3;
    rounds(60, { { other, 8 } }, "n3");
    EXPECT_EQ(limit(other), 1U);
    m_grantor.report(backend, 0, 3, at(m_now));
    rounds(4, { { other, 8 } }, "n3");
    EXPECT_EQ(limit(other), 1U);
    m_grantor.report(backend, 0, 2, at(m_now));
    rounds(4, { { other, 8 } }, "n3");
    EXPECT_EQ(limit(other), 2U);
    m_grantor.report(backend, 0, 0, at(m_now));
    rounds(4, { { other, 8 } }, "n3");
    EXPECT_EQ(limit(other), 3U);
}

// Guards against a new grantor that leases out slots that an earlier grantor may have leased out already.
TEST_F(SlotLease, NewGrantorWaits)
{
    m_epoch.number = 2;
    m_grantor.updateEpoch(at(m_now), m_epoch);
    m_grantor.updateBackendViews(at(m_now), { m_view });
    m_grantor.confirmEpoch(2, at(m_now));
    m_grantor.report(backend, 0, 0, at(m_now + 1000));
    SlotDemand demand { 2, base::NodeId("n0"), 1, grantorOf(m_epoch, backend), 1, 100, 0, { { backend, 0, 8, 0, 0 } } };
    m_grantor.receive(at(m_now + 1000), demand);
    const auto early = m_grantor.takeGrants(at(m_now + 1000));
    ASSERT_EQ(early.size(), 1U);
    ASSERT_EQ(early[0].entries.size(), 1U);
    EXPECT_EQ(early[0].entries[0].allotment, 0U);
    m_grantor.confirmEpoch(2, at(m_now + 3600));
    m_grantor.report(backend, 0, 0, at(m_now + 3600));
    demand.sequence = 101;
    m_grantor.receive(at(m_now + 3600), demand);
    const auto late = m_grantor.takeGrants(at(m_now + 3600));
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0].entries.at(0).allotment, 3U);
}

// Guards against more requests than slots while a partitioned node, which is no longer in the epoch, uses its base
// share.
TEST_F(SlotLease, BaseShareOfARemovedNodeIsNotGranted)
{
    const base::NodeId busy("n2");
    m_epoch.number = 2;
    std::erase(m_epoch.nodes, base::NodeId(grantorOf(m_epoch, backend) == base::NodeId("n5") ? "n4" : "n5"));
    m_grantor.updateEpoch(at(m_now), m_epoch);
    m_grantor.updateBackendViews(at(m_now), { m_view });
    m_now += 3600;
    m_grantor.confirmEpoch(2, at(m_now));
    m_grantor.report(backend, 0, 0, at(m_now));
    m_grantor.receive(at(m_now), { 2, busy, 1, m_grantorId, 1, 1, 0, { { backend, 0, 8, 1, 1 } } });
    // Four other nodes of the epoch and the removed one keep one slot each.
    EXPECT_EQ(m_grantor.takeGrants(at(m_now)).at(0).entries.at(0).allotment, 3U);
}

// Guards against a node that lends its base share before a report lets another node get it, and then waits for it.
TEST_F(SlotLease, BaseShareIsNotLentBeforeTheFirstReport)
{
    m_view.incarnation = 1;
    m_grantor.updateBackendViews(at(m_now), { m_view });
    for (auto& [node, holder] : m_holders) {
        // The share that a node keeps anyway may be at the other backend server.
        holder.updateBackendViews(pricing, { m_view, testing::view("b2", 8) });
    }
    rounds(40, {});
    for (const auto& node : m_epoch.nodes) {
        EXPECT_EQ(limit(node), 1U) << node.text();
    }
}

// Guards against more requests than slots when a process ended in an earlier epoch while its request runs on.
TEST_F(SlotLease, RequestOfAnEndedProcessKeepsItsSlotUntilAReport)
{
    const base::NodeId restarted("n3");
    m_epoch.number = 2;
    m_grantor.updateEpoch(at(m_now), m_epoch);
    m_grantor.updateBackendViews(at(m_now), { m_view });
    m_now += 3600;
    m_grantor.confirmEpoch(2, at(m_now));
    m_grantor.report(backend, 0, 0, at(m_now));
    const auto allotment = [&](std::uint64_t sequence) {
        m_grantor.receive(
            at(m_now), { 2, restarted, 2, m_grantorId, 1, sequence, sequence - 1, { { backend, 0, 8, 0, 1 } } });
        return m_grantor.takeGrants(at(m_now)).at(0).entries.at(0).allotment;
    };
    EXPECT_EQ(allotment(1), 2U);
    m_now += 500;
    m_grantor.report(backend, 0, 0, at(m_now));
    EXPECT_EQ(allotment(2), 3U);
}

// Guards against a node that never serves when quorum is lost before the first grant.
TEST(SlotBaseShare, FirstProcessOfANodeNeedsNoGrant)
{
    const base::NodeId node("n1");
    const EntryEpoch epoch { 1, { base::NodeId("n0"), node }, 2, true, { { base::NodeId("n0"), 7 }, { node, 8 } } };
    const auto view = testing::view("b1", 8);
    SlotHolder before(node, 8);
    before.updateBackendViews(pricing, { view });
    EXPECT_EQ(before.limits(pricing).at(0).limitAfterDeadline, 0U);
    before.updateEpoch(epoch);
    EXPECT_EQ(before.limits(pricing).at(0).limitAfterDeadline, 4U);
    SlotHolder after(node, 8);
    after.updateEpoch(epoch);
    after.updateBackendViews(pricing, { view });
    EXPECT_EQ(after.limits(pricing).at(0).limitAfterDeadline, 4U);
    EXPECT_EQ(after.takeDemands(at(0)).at(0).entries.at(0).inFlightBound, 4U);
}

// Guards against a base share that is used again while it is lent to another node.
TEST(SlotBaseShare, LaterProcessOrReturningBackendServerNeedsAGrant)
{
    const base::NodeId node("n1");
    const EntryEpoch epoch { 1, { base::NodeId("n0"), node }, 2, true, { { base::NodeId("n0"), 7 }, { node, 8 } } };
    auto view = testing::view("b1", 8);
    SlotHolder later(node, 9);
    later.updateEpoch(epoch);
    later.updateBackendViews(pricing, { view });
    EXPECT_EQ(later.limits(pricing).at(0).limitAfterDeadline, 0U);
    SlotHolder first(node, 8);
    first.updateEpoch(epoch);
    first.updateBackendViews(pricing, { view });
    first.updateBackendViews(pricing, {});
    first.updateBackendViews(pricing, { view });
    EXPECT_EQ(first.limits(pricing).at(0).limitAfterDeadline, 0U);
    ++view.incarnation;
    first.updateBackendViews(pricing, { view });
    EXPECT_EQ(first.limits(pricing).at(0).limitAfterDeadline, 4U);
}

// Guards against a grantor that continues to issue grants because it does not know that it was replaced.
TEST_F(SlotLease, GrantsNothingWithoutConfirmedEpoch)
{
    rounds(2, {});
    SlotDemand demand { 1, base::NodeId("n0"), 1, grantorOf(m_epoch, backend), 1, 1000, 0, {} };
    m_grantor.receive(at(m_now + 2000), demand);
    EXPECT_TRUE(m_grantor.takeGrants(at(m_now + 2000)).empty());
}

// Guards against a node that requests more slots than it has queued requests, at the cost of other nodes.
TEST(SlotDemands, QueuedSharesAddUp)
{
    for (const std::size_t queued : { 0U, 1U, 9U, 10U, 37U }) {
        std::size_t sum = 0;
        for (std::size_t position = 0; position < 10; ++position) {
            sum += queuedShare(queued, 10, position);
        }
        EXPECT_EQ(sum, queued);
    }
    EXPECT_EQ(queuedShare(5, 0, 0), 0U);
}

// Guards against messages that don't survive the codec.
TEST(SlotMessages, RoundTrip)
{
    const base::NodeId node("n1");
    const SlotDemand demand { 1, node, 2, node, 3, 4, 5, { { backend, 6, 7, 8, 9 } } };
    EXPECT_EQ(base::decode<SlotDemand>(base::encode(demand)), demand);
    const SlotGrant grant { 1, node, 2, node, 3, 4, 5, { { backend, 6, 7, 1 } } };
    EXPECT_EQ(base::decode<SlotGrant>(base::encode(grant)), grant);
}

// Guards against a holder that never gets slots because its grantor learned of the backend server after the demand.
TEST_F(SlotLease, GrantorThatLearnsOfAnExecutorLateServesAnUnchangedDemand)
{
    m_grantor.updateBackendViews(at(m_now), {});
    const std::map<base::NodeId, std::uint32_t> demands { { m_epoch.nodes.front(), 1 } };
    rounds(5, demands);
    m_grantor.updateBackendViews(at(m_now), { m_view });
    m_now += 10'000;
    m_grantor.report(backend, 0, 0, at(m_now));
    rounds(12, demands);
    EXPECT_GE(limit(m_epoch.nodes.front()), 1U);
}

} // namespace
} // namespace crocuscove::routing
