#include "node_table.h"

#include "crocuscove/base/codec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuscove::server {

CROCUSCOVE_FIELDS(ServiceLoad, v.service, v.inFlight, v.queued)
CROCUSCOVE_FIELDS(NodeStatus, v.node, v.dataCentre, v.isEntry, v.isVoter, v.isLeader, v.isReady, v.applied, v.term,
    v.clockUs, v.loads)

namespace {

/// A node counts as reachable for this long after a status. More than two status intervals, so that one lost message
/// does not make it unreachable.
constexpr base::Milliseconds reachableTimeout { 2500 };

} // namespace

NodeTable::NodeTable(const ServerOptions& options, std::uint64_t incarnation, const Replica& replica,
    std::function<std::vector<ServiceLoad>()> loads)
    : m_options(options)
    , m_incarnation(incarnation)
    , m_replica(replica)
    , m_loads(std::move(loads))
{
}

NodeStatus NodeTable::ownStatus() const
{
    return { m_options.node, m_options.dataCentre, m_options.isEntry, m_options.isVoter, m_replica.isLeader(),
        isReady(), m_replica.appliedIndex(), m_replica.raft().term(), base::monotonicNow().time_since_epoch().count(),
        m_loads() };
}

std::string NodeTable::encodeOwnStatus() const { return base::encode(ownStatus()); }

void NodeTable::receive(const transport::PeerMessage& message)
{
    auto status = base::decode<NodeStatus>(message.payload);
    if (status.node == message.sender) {
        m_receivedStatuses.insert_or_assign(message.sender,
            ReceivedStatus { std::move(status), base::monotonicNow() + reachableTimeout, message.senderIncarnation });
    }
}

std::vector<NodeView> NodeTable::nodes() const
{
    const auto now = base::monotonicNow();
    std::vector<NodeView> views;
    std::ranges::transform(m_options.peers, std::back_inserter(views), [&](const auto& peer) -> NodeView {
        if (peer.first == m_options.node) {
            return { ownStatus(), true, m_incarnation };
        }
        const auto received = m_receivedStatuses.find(peer.first);
        if (received == m_receivedStatuses.end()) {
            NodeStatus unknown;
            unknown.node = peer.first;
            return { unknown, false, 0 };
        }
        return { received->second.status, received->second.reachableUntil > now, received->second.incarnation };
    });
    return views;
}

ClockReadings NodeTable::clockReadings() const
{
    ClockReadings readings;
    std::ranges::for_each(m_receivedStatuses,
        [&](const auto& received) { readings.emplace(received.first, received.second.status.clockUs); });
    readings.emplace(m_options.node, base::monotonicNow().time_since_epoch().count());
    return readings;
}

bool NodeTable::isReady() const { return !m_isStopping && m_replica.isCurrent(base::monotonicNow()); }

} // namespace crocuscove::server
