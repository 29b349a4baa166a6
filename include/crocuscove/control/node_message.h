#pragma once

#include "crocuscove/base/codec_fields.h"
#include "crocuscove/consensus/message.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace crocuscove::control {

/// First message on a connection, and the answer to it.
struct Hello {
    /// Empty for an entry node.
    std::string node;
    /// IP address of the sender.
    std::string address;
};

/// A message of the consensus.
struct ConsensusFrame {
    std::string message;
};

/// A client's request, forwarded by an entry node.
struct ForwardedRequest {
    std::uint64_t id = 0;
    std::string method;
    std::string host;
    std::string path;
    std::string body;
};

enum class ForwardOutcome : std::uint8_t {
    Answered,
    /// This node does not lead; nothing was done.
    NotLeader,
    /// The request may have been carried out. Asking the next leader is safe, since requests are idempotent.
    Unknown,
};

struct ForwardedAnswer {
    std::uint64_t id = 0;
    ForwardOutcome outcome = ForwardOutcome::Answered;
    std::uint32_t status = 0;
    std::string body;
};

/// Asks a control node for its view of the cluster.
struct ViewRequest { };

struct ClusterView {
    /// IP address of the leader, when it is known and serves requests.
    std::string leader;
    /// Addresses of control nodes by node id.
    std::map<std::string, std::string> nodes;
};

using NodeMessage = std::variant<Hello, ConsensusFrame, ForwardedRequest, ForwardedAnswer, ViewRequest, ClusterView>;

CROCUSCOVE_FIELDS(Hello, v.node, v.address)
CROCUSCOVE_FIELDS(ConsensusFrame, v.message)
CROCUSCOVE_FIELDS(ForwardedRequest, v.id, v.method, v.host, v.path, v.body)
CROCUSCOVE_FIELDS(ForwardedAnswer, v.id, v.outcome, v.status, v.body)
inline auto codecFields(ViewRequest& /*request*/) { return std::tuple<>(); }
inline auto codecFields(const ViewRequest& /*request*/) { return std::tuple<>(); }
CROCUSCOVE_FIELDS(ClusterView, v.leader, v.nodes)

std::string encodeNodeMessage(const NodeMessage& message);

/// Throws link::MalformedFrame, also for a node id or an address that can't be used as one.
NodeMessage decodeNodeMessage(std::string_view frame);

/// Throws link::MalformedFrame.
consensus::Message decodeConsensusFrame(const ConsensusFrame& frame);

} // namespace crocuscove::control
