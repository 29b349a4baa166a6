#include "moves.h"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

namespace crocuscove::capacity {

namespace {

class MovePlanner {
public:
    MovePlanner(Fleet& fleet, const BufferPlan& buffer)
        : m_fleet(fleet)
        , m_buffer(buffer)
        , m_domainCounts(fleet.pools.size())
    {
        for (std::size_t vm = 0; vm < fleet.locations.size(); ++vm) {
            if (const auto pool = fleet.memberOf[vm]) {
                ++m_domainCounts[*pool][fleet.pools[*pool].domainOf(fleet.locations[vm])];
            }
        }
    }

    std::vector<VmMove> plan()
    {
        trimToMaximum();
        fillShortages();
        addHeadroom();
        reclaimVms(MoveReason::BufferShortfall);
        reclaimVms(MoveReason::DemandFell);
        return std::move(m_moves);
    }

private:
    [[nodiscard]] Pool& spare() { return m_fleet.pools[m_fleet.spare]; }

    [[nodiscard]] bool isBelowMoveLimit() const
    {
        return m_fleet.runningMoves + m_moves.size() < m_fleet.tuning.maxRunningMoves;
    }

    [[nodiscard]] std::uint32_t countIn(std::size_t pool, std::size_t vm) const
    {
        const auto entry = m_domainCounts[pool].find(m_fleet.pools[pool].domainOf(m_fleet.locations[vm]));
        return entry == m_domainCounts[pool].end() ? 0 : entry->second;
    }

    /// Moves the VM that gives the destination the best spread over failure domains and leaves the source spread best.
    bool move(std::size_t from, std::size_t to, MoveReason reason)
    {
        Pool& source = m_fleet.pools[from];
        if (!isBelowMoveLimit() || source.movable.empty() || !source.mayDonate()) {
            return false;
        }
        const auto chosen = std::ranges::min_element(source.movable, {}, [&](std::size_t vm) {
            const auto fromCount = static_cast<std::int64_t>(countIn(from, vm));
            return std::tuple(countIn(to, vm), -fromCount, m_fleet.view.vms[vm].load, vm);
        });
        const std::size_t vm = *chosen;
        source.movable.erase(chosen);
        --source.available;
        --source.members;
        ++m_fleet.pools[to].members;
        --m_domainCounts[from][source.domainOf(m_fleet.locations[vm])];
        ++m_domainCounts[to][m_fleet.pools[to].domainOf(m_fleet.locations[vm])];
        m_moves.push_back({ .reason = reason,
            .command = { .vm = m_fleet.view.vms[vm].record->vm,
                .from = source.id,
                .to = m_fleet.pools[to].id,
                .boots = m_fleet.view.vms[vm].boots } });
        return true;
    }

    void trimToMaximum()
    {
        for (std::size_t pool = 0; pool < m_fleet.pools.size(); ++pool) {
            while (isService(pool) && m_fleet.pools[pool].members > m_fleet.pools[pool].maximum
                && move(pool, m_fleet.spare, MoveReason::AboveMaximum)) { }
        }
    }

    [[nodiscard]] bool isService(std::size_t pool) const
    {
        return pool != m_fleet.spare && !m_fleet.pools[pool].services.empty();
    }

    /// Returns the service pool with the largest surplus over `floor`, or nothing.
    std::optional<std::size_t> findDonor(std::uint32_t Need::*floor) const
    {
        std::optional<std::size_t> donor;
        std::uint32_t largest = 0;
        for (std::size_t pool = 0; pool < m_fleet.pools.size(); ++pool) {
            const Pool& entry = m_fleet.pools[pool];
            const std::uint32_t surplus = entry.members - std::min(entry.members, entry.need.*floor);
            if (isService(pool) && surplus > largest && entry.mayDonate() && !entry.movable.empty()) {
                donor = pool;
                largest = surplus;
            }
        }
        return donor;
    }

    [[nodiscard]] static std::uint32_t shortageOf(const Pool& pool)
    {
        return pool.need.wanted - std::min(pool.need.wanted, pool.members);
    }

    /// Fills pools up to their wanted size, starting with the pool with the largest relative shortage.
    void fillShortages()
    {
        std::vector<std::size_t> order;
        for (std::size_t pool = 0; pool < m_fleet.pools.size(); ++pool) {
            if (isService(pool) && shortageOf(m_fleet.pools[pool]) > 0) {
                order.push_back(pool);
            }
        }
        std::ranges::stable_sort(order, std::greater {}, [&](std::size_t pool) {
            return static_cast<double>(shortageOf(m_fleet.pools[pool])) / m_fleet.pools[pool].need.wanted;
        });
        for (const std::size_t pool : order) {
            m_undersizedPools.push_back(pool);
            while (shortageOf(m_fleet.pools[pool]) > 0) {
                const MoveReason reason = m_fleet.pools[pool].members < m_fleet.pools[pool].minimum
                    ? MoveReason::BelowMinimum
                    : MoveReason::DemandRose;
                const auto donor = canLend() ? std::optional(m_fleet.spare) : findDonor(&Need::floor);
                if (!donor || !move(*donor, pool, reason)) {
                    break;
                }
            }
        }
    }

    bool canLend() { return spare().mayDonate() && !spare().movable.empty(); }

    /// Returns whether the spare pool has more VMs than the buffer needs.
    bool hasSpareBeyondBuffer() { return spare().lendableVms() > m_buffer.needed; }

    /// Fills pools that had to grow up to their target, so that they don't have to grow again soon, and lends VMs for
    /// maintenance. Only maintenance may use the buffer, since the lent VM returns when the maintenance ends.
    void addHeadroom()
    {
        for (const std::size_t pool : m_undersizedPools) {
            while (m_fleet.pools[pool].members < m_fleet.pools[pool].need.target && hasSpareBeyondBuffer()
                && move(m_fleet.spare, pool, MoveReason::DemandRose)) { }
        }
        for (std::size_t pool = 0; pool < m_fleet.pools.size(); ++pool) {
            const Pool& entry = m_fleet.pools[pool];
            if (isService(pool) && entry.isMaintenanceDue && entry.members <= entry.need.required
                && entry.members < entry.maximum) {
                move(m_fleet.spare, pool, MoveReason::MaintenanceHeadroom);
            }
        }
    }

    void reclaimVms(MoveReason reason)
    {
        const bool isForBuffer = reason == MoveReason::BufferShortfall;
        const auto floor = isForBuffer ? &Need::floor : &Need::reclaimFloor;
        while (!isForBuffer || spare().members < m_buffer.needed + spare().need.wanted) {
            const auto donor = findDonor(floor);
            if (!donor || !move(*donor, m_fleet.spare, reason)) {
                return;
            }
        }
    }

    Fleet& m_fleet;
    const BufferPlan& m_buffer;
    /// For each pool: members in each failure domain.
    std::vector<std::map<std::size_t, std::uint32_t>> m_domainCounts;
    std::vector<std::size_t> m_undersizedPools;
    std::vector<VmMove> m_moves;
};

} // namespace

std::vector<VmMove> planMoves(Fleet& fleet, const BufferPlan& buffer) { return MovePlanner(fleet, buffer).plan(); }

} // namespace crocuscove::capacity
