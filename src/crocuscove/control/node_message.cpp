#include "crocuscove/control/node_message.h"

#include "crocuscove/link/frame_connection.h"

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

} // namespace

std::string encodeNodeMessage(const NodeMessage& message) { return base::encode(message); }

NodeMessage decodeNodeMessage(std::string_view frame)
{
    return orMalformed([&] { return base::decode<NodeMessage>(frame); });
}

consensus::Message decodeConsensusFrame(const ConsensusFrame& frame)
{
    return orMalformed([&] { return consensus::decodeMessage(frame.message); });
}

} // namespace crocuscove::control
