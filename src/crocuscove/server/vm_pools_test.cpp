#include "vm_pools.h"

#include <gtest/gtest.h>

namespace crocuscove::server {
namespace {

const base::PoolId unassigned("unassigned");
const base::PoolId pricing("pricing");
const base::PoolId spare("spare");

class VmPools : public ::testing::Test {
protected:
    VmPools()
    {
        for (const char* name : { "vm-1", "vm-2" }) {
            state::VmRecord record;
            record.vm = base::VmId(name);
            record.pool = unassigned;
            m_vms.emplace(record.vm, record);
        }
    }

    std::map<base::VmId, base::PoolId> plan()
    {
        std::map<base::VmId, base::PoolId> pools;
        for (const auto& assignment : planVmPools(m_view)) {
            EXPECT_EQ(assignment.from, m_vms.at(assignment.vm).pool);
            pools.emplace(assignment.vm, assignment.to);
        }
        return pools;
    }

    using Pools = std::map<base::VmId, base::PoolId>;
    const base::VmId first { "vm-1" };
    const base::VmId second { "vm-2" };
    std::map<base::VmId, state::VmRecord> m_vms;
    VmPoolsView m_view { .vms = m_vms, .documentPools = { pricing, spare } };
};

// Guards against a VM that stays outside the pool of its service because it was registered first.
TEST_F(VmPools, VmJoinsThePoolOfTheServiceOnIt)
{
    m_view.announcedPools = { { first, pricing } };
    EXPECT_EQ(plan(), (Pools { { first, pricing } }));
}

// Guards against idle VMs that capacity planning can't use because they were registered before the fleet document.
TEST_F(VmPools, IdleVmJoinsTheSparePoolOnceAllWereHeard)
{
    m_view.announcedPools = { { first, pricing } };
    m_view.sparePool = spare;
    EXPECT_EQ(plan(), (Pools { { first, pricing } }));
    m_view.hasHeardAll = true;
    EXPECT_EQ(plan(), (Pools { { first, pricing }, { second, spare } }));
}

// Guards against a VM that leaves the pool of a document without a drain.
TEST_F(VmPools, VmOfADocumentsPoolStays)
{
    m_vms.at(first).pool = spare;
    m_vms.at(second).phase = state::VmPhase::Draining;
    m_view.announcedPools = { { first, pricing }, { second, pricing } };
    EXPECT_EQ(plan(), Pools());
}

} // namespace
} // namespace crocuscove::server
