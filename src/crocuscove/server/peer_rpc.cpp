#include "peer_rpc.h"

#include "crocuscove/base/codec.h"

#include <utility>

namespace crocuscove::server {

namespace {

constexpr std::size_t maxPendingCalls = 65536;

struct RpcRequest {
    std::uint64_t id = 0;
    Procedure procedure = Procedure::SubmitCommand;
    std::string payload;
};

struct RpcResponse {
    std::uint64_t id = 0;
    std::string payload;
};

CROCUSCOVE_FIELDS(RpcRequest, v.id, v.procedure, v.payload)
CROCUSCOVE_FIELDS(RpcResponse, v.id, v.payload)

} // namespace

PeerRpc::PeerRpc(http::EventLoop& loop, Send send, Handler handler)
    : m_loop(loop)
    , m_send(std::move(send))
    , m_handler(std::move(handler))
{
}

bool PeerRpc::call(const base::NodeId& peer, Procedure procedure, const std::string& payload,
    base::MonotonicTime deadline, Callback callback)
{
    const std::uint64_t id = m_nextId++;
    if (m_pendingCalls.size() >= maxPendingCalls
        || !m_send(peer, transport::MessageKind::ForwardRequest, base::encode(RpcRequest { id, procedure, payload }))) {
        return false;
    }
    m_pendingCalls.emplace(
        id, PendingCall { peer, std::move(callback), m_loop.runAt(deadline, [this, id] { expire(id); }) });
    return true;
}

void PeerRpc::receive(const transport::PeerMessage& message)
{
    if (message.kind == transport::MessageKind::ForwardRequest) {
        receiveRequest(message);
    } else {
        receiveResponse(message);
    }
}

void PeerRpc::receiveRequest(const transport::PeerMessage& message)
{
    const auto request = base::decode<RpcRequest>(message.payload);
    m_handler(request.procedure, request.payload, [this, peer = message.sender, id = request.id](std::string payload) {
        m_send(peer, transport::MessageKind::ForwardResponse, base::encode(RpcResponse { id, std::move(payload) }));
    });
}

void PeerRpc::receiveResponse(const transport::PeerMessage& message)
{
    auto response = base::decode<RpcResponse>(message.payload);
    const auto pending = m_pendingCalls.find(response.id);
    if (pending == m_pendingCalls.end() || pending->second.peer != message.sender) {
        return;
    }
    const auto callback = std::move(pending->second.callback);
    m_pendingCalls.erase(pending);
    callback(std::move(response.payload));
}

void PeerRpc::expire(std::uint64_t id)
{
    auto call = m_pendingCalls.extract(id);
    if (!call.empty()) {
        call.mapped().callback(std::nullopt);
    }
}

} // namespace crocuscove::server
