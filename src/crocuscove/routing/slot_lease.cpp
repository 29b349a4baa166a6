#include "crocuscove/routing/slot_lease.h"

#include <xxhash.h>

#include <algorithm>

namespace crocuscove::routing {
namespace {

std::uint64_t rendezvousWeight(const base::NodeId& node, const base::BackendId& backend)
{
    const auto seed = XXH64(node.text().data(), node.text().size(), 0);
    return XXH64(backend.text().data(), backend.text().size(), seed);
}

} // namespace

base::NodeId grantorOf(const EntryEpoch& epoch, const base::BackendId& backend)
{
    const auto grantor = std::ranges::max_element(
        epoch.nodes, {}, [&](const auto& node) { return std::pair(rendezvousWeight(node, backend), node.text()); });
    return grantor == epoch.nodes.end() ? base::NodeId() : *grantor;
}

std::uint32_t queuedShare(std::size_t queued, std::size_t executors, std::size_t position)
{
    if (executors == 0) {
        return 0;
    }
    return static_cast<std::uint32_t>(queued / executors + (position < queued % executors ? 1 : 0));
}

std::uint32_t baseShare(const EntryEpoch& epoch, std::uint32_t slots) { return slots / std::max(epoch.shareNodes, 1U); }

std::uint32_t absentShares(const EntryEpoch& epoch, std::uint32_t slots)
{
    const auto present = std::min<std::size_t>(epoch.nodes.size(), epoch.shareNodes);
    return (epoch.shareNodes - static_cast<std::uint32_t>(present)) * baseShare(epoch, slots);
}

bool isFirstProcess(const EntryEpoch& epoch, const base::NodeId& node, std::uint64_t incarnation)
{
    const auto first = epoch.firstProcesses.find(node);
    return first != epoch.firstProcesses.end() && first->second == incarnation && incarnation != 0;
}

} // namespace crocuscove::routing
