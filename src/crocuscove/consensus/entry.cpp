#include "crocuscove/consensus/entry.h"

#include "crocuscove/consensus/fields.h"
#include "crocuscove/consensus/message.h"

#include <algorithm>

namespace crocuscove::consensus {

namespace {

using NodeList = std::vector<base::NodeId>;

void packNodes(Packer& packer, const NodeList& nodes)
{
    packer.pack_array(static_cast<std::uint32_t>(nodes.size()));
    std::ranges::for_each(nodes, [&packer](const base::NodeId& node) { packer.pack(node.text()); });
}

NodeList unpackNodes(const msgpack::object& object)
{
    const msgpack::object_array array = Fields::array(object, maxMembers);
    NodeList nodes;
    nodes.reserve(array.size);
    std::transform(array.ptr, array.ptr + array.size, std::back_inserter(nodes), Fields::asNode);
    const bool isSorted = std::ranges::adjacent_find(nodes, std::ranges::greater_equal()) == nodes.end();
    if (!isSorted || (!nodes.empty() && nodes.front().empty())) {
        throw base::Error("the member list isn't sorted or contains a duplicate or empty id");
    }
    return nodes;
}

} // namespace

bool Membership::isVoter(const base::NodeId& node) const { return std::ranges::binary_search(voters, node); }

bool Membership::isLearner(const base::NodeId& node) const { return std::ranges::binary_search(learners, node); }

void packMembership(Packer& packer, const Membership& membership)
{
    packer.pack_array(2);
    packNodes(packer, membership.voters);
    packNodes(packer, membership.learners);
}

Membership unpackMembership(const msgpack::object& object)
{
    Fields fields(object, 2);
    Membership membership;
    membership.voters = unpackNodes(fields.next());
    membership.learners = unpackNodes(fields.next());
    const bool overlaps = std::ranges::any_of(
        membership.learners, [&membership](const base::NodeId& node) { return membership.isVoter(node); });
    if (overlaps || membership.voters.size() + membership.learners.size() > maxMembers) {
        throw base::Error("a node is both voter and learner, or the membership has too many members");
    }
    return membership;
}

msgpack::object_handle unpackWhole(std::string_view bytes)
{
    constexpr std::size_t maxDepth = 8;
    try {
        std::size_t offset = 0;
        // Strings refer to `bytes`, so that they are copied only once, into the result.
        auto handle = msgpack::unpack(
            bytes.data(), bytes.size(), offset, [](msgpack::type::object_type, std::size_t, void*) { return true; },
            nullptr, msgpack::unpack_limit(maxMessageEntries, 0, bytes.size(), 0, 0, maxDepth));
        if (offset != bytes.size()) {
            throw base::Error("trailing bytes after the encoded value");
        }
        return handle;
    } catch (const msgpack::unpack_error& error) {
        throw base::Error(error.what());
    }
}

std::string encodeMembership(const Membership& membership)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packMembership(packer, membership);
    return { buffer.data(), buffer.size() };
}

Membership decodeMembership(std::string_view data)
{
    try {
        const msgpack::object_handle handle = unpackWhole(data);
        return unpackMembership(handle.get());
    } catch (const base::Error& error) {
        throw base::Error(std::string("malformed membership: ") + error.what());
    }
}

Restored bootstrap(Membership membership)
{
    std::ranges::sort(membership.voters);
    std::ranges::sort(membership.learners);
    Restored restored;
    restored.hardState.term = 1;
    restored.entries.push_back({ 1, 1, EntryKind::Membership, encodeMembership(membership) });
    return restored;
}

} // namespace crocuscove::consensus
