#include "routing/slot_scheme.h"

#include "crocuscove/routing/slot_grantor.h"
#include "crocuscove/routing/slot_holder.h"

#include <algorithm>
#include <map>
#include <set>

namespace crocuscove::bench {
namespace {

using namespace routing;

/// Common part of schemes that do nothing for an event.
class QuietScheme : public SlotScheme {
public:
    void batch(base::MonotonicTime, std::size_t, const std::vector<BackendUsage>&, std::size_t) override { }
    void event(std::size_t, std::size_t) override { }
    void ended(std::size_t) override { }
    void answered(std::size_t, std::size_t) override { }
    [[nodiscard]] std::uint64_t messages() const override { return m_messages; }

protected:
    std::uint64_t m_messages = 0;
};

class FixedSplit : public QuietScheme {
public:
    FixedSplit(std::size_t nodes, const std::vector<BackendView>& views)
        : m_limits(fixedSplit(views, nodes))
    {
    }
    [[nodiscard]] std::vector<SlotLimit> limits(std::size_t) const override { return m_limits; }

private:
    std::vector<SlotLimit> m_limits;
};

/// Every node may use every slot as far as it knows; the backend server refuses what is too much.
class TwoChoices : public QuietScheme {
public:
    explicit TwoChoices(const std::vector<BackendView>& views)
        : m_limits(fixedSplit(views, 1))
    {
    }
    [[nodiscard]] std::vector<SlotLimit> limits(std::size_t) const override { return m_limits; }
    [[nodiscard]] bool refuses() const override { return true; }

private:
    std::vector<SlotLimit> m_limits;
};

class SlotLeases : public QuietScheme {
public:
    SlotLeases(std::size_t nodes, const std::vector<BackendView>& views, base::Microseconds latency, Later later,
        Changed changed)
        : m_views(views)
        , m_latency(latency)
        , m_later(std::move(later))
        , m_changed(std::move(changed))
    {
        EntryEpoch epoch;
        epoch.number = 1;
        epoch.shareNodes = static_cast<std::uint32_t>(nodes);
        for (std::size_t i = 0; i < nodes; ++i) {
            epoch.nodes.emplace_back("n" + std::to_string(i));
            epoch.firstProcesses.emplace(epoch.nodes.back(), 1);
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            auto& holder = m_holders.emplace_back(epoch.nodes[i], 1);
            holder.updateEpoch(epoch);
            holder.updateBackendViews(service(), views);
            auto& grantor = m_grantors.emplace_back(epoch.nodes[i], 1);
            grantor.updateEpoch(base::MonotonicTime(), epoch);
            grantor.updateBackendViews(base::MonotonicTime(), views);
        }
    }

    [[nodiscard]] std::vector<SlotLimit> limits(std::size_t node) const override
    {
        return m_holders[node].limits(service());
    }

    void batch(
        base::MonotonicTime now, std::size_t node, const std::vector<BackendUsage>& usage, std::size_t queued) override
    {
        m_grantors[node].confirmEpoch(1, now);
        for (const auto& view : m_views) {
            // The first report of an executor shows it empty; later ones play no part without failures.
            m_grantors[node].report(view.backend, view.incarnation, 0, now);
        }
        for (std::size_t i = 0; i < m_views.size(); ++i) {
            const auto& backend = m_views[i].backend;
            const auto used = std::ranges::find(usage, backend, &BackendUsage::backend);
            const auto inFlight = used == usage.end() ? 0 : used->inFlight;
            const auto position = (i + node + m_turn) % m_views.size();
            m_holders[node].recordUsage(
                now, backend, inFlight, inFlight + queuedShare(queued, m_views.size(), position));
        }
        ++m_turn;
        for (auto& demand : m_holders[node].takeDemands(now)) {
            send(node, indexOf(demand.grantor),
                [this, demand](base::MonotonicTime at, std::size_t to) { m_grantors[to].receive(at, demand); });
        }
        for (auto& grant : m_grantors[node].takeGrants(now)) {
            send(node, indexOf(grant.holder), [this, grant](base::MonotonicTime at, std::size_t to) {
                m_holders[to].receive(at, grant);
                m_changed(to);
            });
        }
    }

private:
    static base::ServiceId service() { return base::ServiceId("s"); }
    static std::size_t indexOf(const base::NodeId& node) { return std::stoul(node.text().substr(1)); }

    void send(std::size_t from, std::size_t to, std::function<void(base::MonotonicTime, std::size_t)> run)
    {
        m_messages += from == to ? 0 : 1;
        m_later(from == to ? base::Microseconds(0) : m_latency,
            [to, run = std::move(run)](base::MonotonicTime at) { run(at, to); });
    }

    std::vector<BackendView> m_views;
    base::Microseconds m_latency;
    Later m_later;
    Changed m_changed;
    std::vector<SlotHolder> m_holders;
    std::vector<SlotGrantor> m_grantors;
    std::size_t m_turn = 0;
};

/// A node with queued work tells the backend servers; a backend server with a free slot offers it to one such node in
/// turn; the node uses the offer at once or gives it back.
class BackendPull : public QuietScheme {
public:
    BackendPull(std::size_t nodes, const std::vector<BackendView>& views, base::Microseconds latency, Later later,
        Changed changed)
        : m_views(views)
        , m_latency(latency)
        , m_later(std::move(later))
        , m_changed(std::move(changed))
        , m_nodes(nodes)
        , m_backends(views.size())
    {
        for (auto& node : m_nodes) {
            node.limits.resize(views.size());
        }
        for (std::size_t i = 0; i < views.size(); ++i) {
            m_backends[i].free = views[i].slots;
        }
    }

    [[nodiscard]] std::vector<SlotLimit> limits(std::size_t node) const override
    {
        std::vector<SlotLimit> limits;
        for (std::size_t i = 0; i < m_views.size(); ++i) {
            limits.push_back({ m_views[i].backend, m_nodes[node].limits[i] });
        }
        return limits;
    }

    void batch(base::MonotonicTime, std::size_t node, const std::vector<BackendUsage>& usage, std::size_t) override
    {
        // Offers that were not used go back.
        for (std::size_t i = 0; i < m_views.size(); ++i) {
            const auto used = std::ranges::find(usage, m_views[i].backend, &BackendUsage::backend);
            const auto inFlight = used == usage.end() ? 0 : used->inFlight;
            auto& limit = m_nodes[node].limits[i];
            const auto unused = limit > inFlight ? limit - inFlight : 0;
            if (unused > 0 && m_nodes[node].queued == 0) {
                limit -= unused;
                ++m_messages;
                m_later(m_latency, [this, i, unused](base::MonotonicTime) {
                    m_backends[i].free += unused;
                    offer(i);
                });
            }
        }
        m_changed(node);
    }

    void event(std::size_t node, std::size_t queued) override
    {
        auto& state = m_nodes[node];
        const bool wasWaiting = state.queued > 0;
        state.queued = queued;
        if ((queued > 0) == wasWaiting) {
            return;
        }
        m_messages += m_views.size();
        m_later(m_latency, [this, node, isWaiting = queued > 0](base::MonotonicTime) {
            for (std::size_t i = 0; i < m_backends.size(); ++i) {
                if (isWaiting) {
                    m_backends[i].waiting.insert(node);
                } else {
                    m_backends[i].waiting.erase(node);
                }
                offer(i);
            }
        });
    }

    void ended(std::size_t backend) override
    {
        ++m_backends[backend].free;
        offer(backend);
    }

    void answered(std::size_t node, std::size_t backend) override
    {
        auto& limit = m_nodes[node].limits[backend];
        limit -= limit > 0 ? 1 : 0;
        m_changed(node);
    }

private:
    struct NodeState {
        std::vector<std::uint32_t> limits;
        std::size_t queued = 0;
    };
    struct BackendState {
        std::uint32_t free = 0;
        std::set<std::size_t> waiting;
        std::size_t turn = 0;
    };

    void offer(std::size_t backend)
    {
        auto& state = m_backends[backend];
        while (state.free > 0 && !state.waiting.empty()) {
            auto next = state.waiting.lower_bound(state.turn);
            next = next == state.waiting.end() ? state.waiting.begin() : next;
            const auto node = *next;
            state.turn = node + 1;
            --state.free;
            ++m_messages;
            m_later(m_latency, [this, node, backend](base::MonotonicTime) {
                ++m_nodes[node].limits[backend];
                m_changed(node);
            });
        }
    }

    std::vector<BackendView> m_views;
    base::Microseconds m_latency;
    Later m_later;
    Changed m_changed;
    std::vector<NodeState> m_nodes;
    std::vector<BackendState> m_backends;
};

} // namespace

std::unique_ptr<SlotScheme> makeScheme(SchemeKind kind, std::size_t nodes, const std::vector<BackendView>& views,
    base::Microseconds latency, SlotScheme::Later later, SlotScheme::Changed changed)
{
    switch (kind) {
    case SchemeKind::FixedSplit:
        return std::make_unique<FixedSplit>(nodes, views);
    case SchemeKind::SlotLeases:
        return std::make_unique<SlotLeases>(nodes, views, latency, std::move(later), std::move(changed));
    case SchemeKind::BackendPull:
        return std::make_unique<BackendPull>(nodes, views, latency, std::move(later), std::move(changed));
    case SchemeKind::TwoChoicesWithRefusal:
        return std::make_unique<TwoChoices>(views);
    }
    return nullptr;
}

} // namespace crocuscove::bench
