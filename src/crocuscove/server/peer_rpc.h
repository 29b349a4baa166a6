#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/base/time.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/transport/peer_network.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocuscove::server {

/// Procedures that one node can call on another.
enum class Procedure {
    SubmitCommand,
    WorkerReport,
};

/// Remote procedure calls between nodes. The callback of a call receives the reply, or nullopt at the deadline.
class PeerRpc {
public:
    using Reply = std::function<void(std::string payload)>;
    using Handler = std::function<void(Procedure procedure, const std::string& payload, Reply reply)>;
    using Callback = std::function<void(std::optional<std::string> payload)>;
    using Send = std::function<bool(const base::NodeId& peer, transport::MessageKind kind, const std::string& payload)>;

    /// `loop` must outlive this.
    PeerRpc(http::EventLoop& loop, Send send, Handler handler);

    /// Calls `procedure` on `peer`. Returns false and never calls `callback` when the request could not be sent or too
    /// many calls are pending.
    bool call(const base::NodeId& peer, Procedure procedure, const std::string& payload, base::MonotonicTime deadline,
        Callback callback);

    /// Handles a message of kind ForwardRequest or ForwardResponse.
    void receive(const transport::PeerMessage& message);

private:
    struct PendingCall {
        base::NodeId peer;
        Callback callback;
        http::Timer timer;
    };

    void receiveRequest(const transport::PeerMessage& message);
    void receiveResponse(const transport::PeerMessage& message);
    void expire(std::uint64_t id);

    http::EventLoop& m_loop;
    Send m_send;
    Handler m_handler;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, PendingCall> m_pendingCalls;
};

} // namespace crocuscove::server
