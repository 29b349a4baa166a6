#include "crocuscove/control/node_message.h"

#include "crocuscove/base/codec.h"
#include "crocuscove/http/socket_address.h"
#include "crocuscove/link/frame_connection.h"

#include <algorithm>

namespace crocuscove::control {

namespace {

template <typename Decode> auto orMalformed(const Decode& decode)
{
    try {
        return decode();
    } catch (const base::Error& error) {
        throw link::MalformedFrame(error.what());
    }
}

/// Throws base::Error unless a connection can be made to `address`.
void requireAddress(const std::string& address) { static_cast<void>(http::socketAddress({ address, 0 })); }

void requireUsable(const Hello& hello)
{
    if (!hello.node.empty()) {
        base::requireValidId(hello.node, "node");
    }
    requireAddress(hello.address);
}

void requireUsable(const ClusterView& view)
{
    if (!view.leader.empty()) {
        requireAddress(view.leader);
    }
    std::ranges::for_each(view.nodes, [](const auto& node) { requireAddress(node.second); });
}

template <typename Message> void requireUsable(const Message& /*message*/) { }

} // namespace

std::string encodeNodeMessage(const NodeMessage& message) { return base::encode(message); }

NodeMessage decodeNodeMessage(std::string_view frame)
{
    return orMalformed([&] {
        auto message = base::decode<NodeMessage>(frame);
        std::visit([](const auto& alternative) { requireUsable(alternative); }, message);
        return message;
    });
}

consensus::Message decodeConsensusFrame(const ConsensusFrame& frame)
{
    return orMalformed([&] { return consensus::decodeMessage(frame.message); });
}

} // namespace crocuscove::control
