#include "crocuscove/routing/slot_grantor.h"
#include "crocuscove/routing/slot_holder.h"

#include "crocuscove/base/error.h"
#include "crocuscove/routing/test_support.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <memory>

namespace crocuscove::routing {
namespace {

using base::Milliseconds;

constexpr std::size_t nodeCount = 4;
constexpr std::uint32_t slots = 6;

/// A fault injected into the grantors or holders of a run, which shows that the property test can fail.
enum class Fault {
    None,
    /// The grantor treats leased slots as free as soon as their lease has ended, without a report.
    NoReport,
    /// The grantor issues grants although the log did not confirm its epoch recently.
    NoAuthority,
    /// A new grantor treats slots that earlier grantors may have leased out as free.
    NoWait,
    /// Holders use leases for longer than the grantors reserve the slots.
    LeaseTooLong,
    /// Every process of a node uses its base share without a grant.
    EveryProcessIsFirst,
};

class LimitPassed : public base::Error {
public:
    using Error::Error;
};

struct Running {
    std::size_t node = 0;
    std::uint64_t process = 0;
    base::MonotonicTime arrival;
};

struct Node {
    base::NodeId id;
    std::uint64_t process = 1;
    std::uint64_t epoch = 0;
    bool isCutOff = false;
    /// Its process has ended.
    bool isGone = false;
    std::unique_ptr<SlotHolder> holder;
    std::unique_ptr<SlotGrantor> grantor;
};

struct Report {
    std::uint32_t inFlight = 0;
    base::MonotonicTime made;
};

/// Simulates entry nodes with one backend server. Messages are lost, duplicated, delayed and reordered; nodes learn of
/// epochs at different times, are partitioned or restart; requests run for arbitrary times.
class Cluster {
public:
    /// Only the first nodes run in the first epoch.
    Cluster(Fault fault, std::size_t firstNodes)
        : m_fault(fault)
    {
        if (fault == Fault::LeaseTooLong) {
            m_holderOptions.lease = Milliseconds(10000);
        }
        m_view = testing::view("b1", slots);
        m_view.incarnation = 1;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            m_nodes[i].id = base::NodeId("n" + std::to_string(i));
            m_nodes[i].isGone = i >= firstNodes;
        }
        commitEpoch(false);
        std::for_each_n(m_nodes.begin(), firstNodes, [this](Node& node) { startProcess(node); });
    }

    void step(std::uint32_t event)
    {
        const auto detail = event / 32;
        const std::size_t index = detail % nodeCount;
        auto& node = m_nodes[index];
        const auto kind = event % 32;
        if (kind < 8) {
            begin(index);
        } else if (kind < 11) {
            end(detail);
        } else if (kind < 18) {
            exchange(detail);
        } else if (kind < 21) {
            deliverOld(detail);
        } else if (kind < 23) {
            m_reports.push_back({ arrived(), m_now });
            deliverReport(detail);
        } else if (kind == 23) {
            deliverReport(detail);
        } else if (kind == 24) {
            node.isCutOff = detail / nodeCount % 8 == 0;
        } else if (kind == 25 && (node.isGone || detail / nodeCount % 8 == 0)) {
            changeProcess(node);
        } else if (kind == 26 && detail / nodeCount % 4 == 0) {
            commitEpoch(detail / nodeCount % 8 == 0);
        } else if (kind == 27) {
            dropBackend(node, detail);
            learnEpoch(node);
        } else if (kind == 28) {
            m_now += Milliseconds(detail / nodeCount % 8 == 0 ? detail % 2000 : 0);
        } else {
            m_now += Milliseconds(detail % 100);
        }
        if (m_running.size() > slots) {
            throw LimitPassed(
                std::to_string(m_running.size()) + " requests run in " + std::to_string(slots) + " slots");
        }
    }

    [[nodiscard]] std::uint64_t started() const { return m_started; }
    [[nodiscard]] std::size_t mostRunning() const { return m_mostRunning; }

private:
    void startProcess(Node& node)
    {
        node.holder = std::make_unique<SlotHolder>(node.id, node.process, m_holderOptions);
        node.grantor = std::make_unique<SlotGrantor>(node.id, node.process, m_grantorOptions);
        node.epoch = 0;
        learnEpoch(node);
    }

    /// The holder forgets the backend server for a while, like a node that misses its announcements.
    static void dropBackend(Node& node, std::uint32_t detail)
    {
        if (!node.isGone && detail / nodeCount % 16 == 0) {
            node.holder->updateBackendViews(base::ServiceId("pricing"), {});
        }
    }

    void learnEpoch(Node& node)
    {
        if (node.isCutOff || node.isGone) {
            return;
        }
        node.epoch = m_epoch.number;
        auto epoch = m_epoch;
        if (m_fault == Fault::EveryProcessIsFirst) {
            epoch.firstProcesses[node.id] = node.process;
        }
        node.holder->updateEpoch(epoch);
        node.holder->updateBackendViews(base::ServiceId("pricing"), { m_view });
        node.grantor->updateEpoch(m_now, m_epoch);
        node.grantor->updateBackendViews(m_now, { m_view });
        if (m_fault == Fault::NoWait) {
            node.grantor->report(m_view.backend, 1, 0, m_now + Milliseconds(60000));
        }
    }

    /// Commits an epoch without the stopped nodes, which may change the grantor. It may lack the partitioned nodes too,
    /// which go on with their base shares.
    void commitEpoch(bool lacksPartitioned)
    {
        m_epoch.number += 1;
        m_epoch.isFirst = m_epoch.number == 1;
        m_epoch.shareNodes = nodeCount;
        m_epoch.nodes.clear();
        for (const auto& node : m_nodes) {
            if (!node.isGone && !(lacksPartitioned && node.isCutOff)) {
                m_epoch.nodes.push_back(node.id);
                m_epoch.firstProcesses.try_emplace(node.id, node.process);
            }
        }
    }

    void changeProcess(Node& node)
    {
        node.isGone = !node.isGone;
        if (!node.isGone) {
            ++node.process;
            startProcess(node);
        }
    }

    [[nodiscard]] std::uint32_t inFlightOf(std::size_t index) const
    {
        return static_cast<std::uint32_t>(std::ranges::count_if(
            m_running, [&](const auto& each) { return each.node == index && each.process == m_nodes[index].process; }));
    }

    [[nodiscard]] std::uint32_t arrived() const
    {
        return static_cast<std::uint32_t>(
            std::ranges::count_if(m_running, [&](const auto& each) { return each.arrival <= m_now; }));
    }

    void begin(std::size_t index)
    {
        if (m_nodes[index].isGone) {
            return;
        }
        const auto limits = m_nodes[index].holder->limits(base::ServiceId("pricing"));
        if (limits.empty()) {
            return;
        }
        const auto limit = m_now < limits[0].deadline ? limits[0].limit : limits[0].limitAfterDeadline;
        if (inFlightOf(index) < limit) {
            ++m_started;
            const auto transit = Milliseconds((m_started * 97) % 500);
            m_running.push_back({ index, m_nodes[index].process, m_now + transit });
            m_mostRunning = std::max(m_mostRunning, m_running.size());
        }
    }

    void end(std::uint32_t detail)
    {
        if (m_running.empty()) {
            return;
        }
        const auto one = m_running.begin() + static_cast<std::ptrdiff_t>(detail % m_running.size());
        if (one->arrival <= m_now) {
            m_running.erase(one);
        }
    }

    void batch(Node& node, std::uint32_t demand)
    {
        const auto index = static_cast<std::size_t>(&node - m_nodes.data());
        const bool isConfirmed = !node.isCutOff && node.epoch == m_epoch.number;
        if (isConfirmed || m_fault == Fault::NoAuthority) {
            node.grantor->confirmEpoch(node.epoch, m_now);
        }
        if (m_fault == Fault::NoReport) {
            node.grantor->report(m_view.backend, 1, 0, m_now);
        }
        node.holder->recordUsage(m_now, m_view.backend, inFlightOf(index), demand % (slots + 1));
        std::ranges::copy(node.holder->takeDemands(m_now), std::back_inserter(m_demands));
    }

    /// Exchanges one round of batches. Some messages are lost, or arrive later through deliverOld.
    void exchange(std::uint32_t detail)
    {
        m_now += Milliseconds(10);
        const auto demands = m_demands.size();
        const auto grants = m_grants.size();
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (!m_nodes[i].isGone) {
                batch(m_nodes[i], detail >> (3 * i));
            }
        }
        const auto isLost = [&](std::size_t i) { return ((detail >> 8U) + i * 5) % 7 == 0; };
        for (std::size_t i = demands; i < m_demands.size(); ++i) {
            if (!isLost(i)) {
                deliver(m_demands[i]);
            }
        }
        for (auto& node : m_nodes) {
            if (!node.isGone) {
                std::ranges::copy(node.grantor->takeGrants(m_now), std::back_inserter(m_grants));
            }
        }
        for (std::size_t i = grants; i < m_grants.size(); ++i) {
            if (!isLost(i + 3)) {
                deliver(m_grants[i]);
            }
        }
    }

    [[nodiscard]] Node* reachable(const base::NodeId& from, const base::NodeId& to)
    {
        const auto sender = std::ranges::find(m_nodes, from, &Node::id);
        const auto receiver = std::ranges::find(m_nodes, to, &Node::id);
        // Partitioned nodes can still reach each other.
        const bool isReachable = from == to || sender->isCutOff == receiver->isCutOff;
        return isReachable && !receiver->isGone ? &*receiver : nullptr;
    }

    void deliver(const SlotDemand& demand)
    {
        if (auto* node = reachable(demand.holder, demand.grantor)) {
            node->grantor->receive(m_now, demand);
        }
    }

    void deliver(const SlotGrant& grant)
    {
        if (auto* node = reachable(grant.grantor, grant.holder)) {
            node->holder->receive(m_now, grant);
        }
    }

    /// Delivers a duplicated or delayed message, mostly a recent one.
    void deliverOld(std::uint32_t detail)
    {
        const auto pick = [&](const auto& messages) -> const auto&
        {
            const auto back = detail / 8 % 4 == 0 ? messages.size() : std::min<std::size_t>(messages.size(), 12);
            return messages[messages.size() - 1 - detail / 32 % back];
        };
        if (detail % 2 == 0 && !m_demands.empty()) {
            deliver(pick(m_demands));
        } else if (!m_grants.empty()) {
            deliver(pick(m_grants));
        }
    }

    void deliverReport(std::uint32_t detail)
    {
        if (m_reports.empty()) {
            return;
        }
        const auto back = std::min<std::size_t>(m_reports.size(), 3);
        const auto& report = m_reports[m_reports.size() - 1 - detail / 4 % back];
        for (auto& node : m_nodes) {
            if (!node.isGone && !node.isCutOff) {
                node.grantor->report(m_view.backend, 1, report.inFlight, report.made);
            }
        }
    }

    Fault m_fault;
    SlotOptions m_holderOptions;
    SlotOptions m_grantorOptions;
    base::MonotonicTime m_now { Milliseconds(100000) };
    BackendView m_view;
    EntryEpoch m_epoch;
    std::array<Node, nodeCount> m_nodes;
    std::vector<Running> m_running;
    std::uint64_t m_started = 0;
    std::size_t m_mostRunning = 0;
    std::vector<SlotDemand> m_demands;
    std::vector<SlotGrant> m_grants;
    std::vector<Report> m_reports;
};

/// Runs a random sequence of events and returns the maximum number of concurrent requests. Throws LimitPassed when it
/// exceeds the slots.
std::size_t run(Fault fault, std::uint64_t seed, std::size_t length)
{
    Cluster cluster(fault, nodeCount - seed % 2);
    base::Random random(seed);
    for (std::size_t i = 0; i < length; ++i) {
        cluster.step(static_cast<std::uint32_t>(random()));
    }
    return cluster.mostRunning();
}

constexpr std::size_t historyLength = 3000;

// Guards against more requests in flight at a backend server than it has slots, under message loss, delay and
// reordering, partitions, restarts and changes of grantor.
RC_GTEST_PROP(SlotLeaseProperty, NeverPassesTheSlots, (std::uint64_t seed))
{
    const auto length = *rc::gen::inRange<std::size_t>(100, historyLength);
    run(Fault::None, seed, length);
}

// Guards against event sequences that grant too few slots to test the limit: most sequences must reach it.
TEST(SlotLeaseProperty, HistoriesFillTheSlots)
{
    std::size_t full = 0;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        full += run(Fault::None, seed, 4 * historyLength) == slots ? 1 : 0;
    }
    EXPECT_GT(full, 10U);
}

// Guards against a property test that can't fail: each injected fault must exceed the limit in some sequences.
TEST(SlotLeaseProperty, DetectsBrokenGrantors)
{
    for (const auto fault :
        { Fault::NoReport, Fault::NoAuthority, Fault::NoWait, Fault::LeaseTooLong, Fault::EveryProcessIsFirst }) {
        bool isBroken = false;
        for (std::uint64_t seed = 0; seed < 100 && !isBroken; ++seed) {
            try {
                run(fault, seed, 4 * historyLength);
            } catch (const LimitPassed&) {
                isBroken = true;
            }
        }
        EXPECT_TRUE(isBroken) << "fault " << static_cast<int>(fault);
    }
}

} // namespace
} // namespace crocuscove::routing
