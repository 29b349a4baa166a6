#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/routing/actions.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace crocuscove::routing {

/// The queued requests and the service received of one client team in one queue.
struct Flow {
    std::set<std::pair<base::MonotonicTime, RequestId>> requests;
    /// Start tag of the next request, in virtual time.
    double startTag = 0.0;
    double weight = 1.0;
    /// Expected run time of the queued requests, in seconds.
    double queuedCost = 0.0;
    /// Breaks ties between flows with equal tags.
    std::uint64_t serial = 0;
};

/// Queue of one work class. Flows share it by start-time fair queueing with weights; requests of one flow are ordered
/// by deadline. A flow is charged the expected run time of a request on dispatch, and the difference to the actual run
/// time when the attempt ends.
class FairQueue {
public:
    FairQueue() = default;
    FairQueue(const FairQueue&) = delete;
    FairQueue& operator=(const FairQueue&) = delete;

    void push(base::MonotonicTime now, Flow& flow, base::MonotonicTime deadline, RequestId request, double cost);
    void remove(Flow& flow, base::MonotonicTime deadline, RequestId request, double cost);
    /// Removes the request returned by `front` and charges its flow.
    void dispatch(base::MonotonicTime now, Flow& flow, base::MonotonicTime deadline, RequestId request, double cost);
    /// Charges a flow for `cost` seconds of run time. A negative cost is a refund.
    void charge(Flow& flow, double cost);

    [[nodiscard]] std::optional<RequestId> front() const;
    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] bool empty() const { return m_size == 0; }
    [[nodiscard]] double queuedCost() const { return m_queuedCost; }
    /// Sum of the weights of the flows with queued requests.
    [[nodiscard]] double activeWeight() const { return m_activeWeight; }
    /// Time of the last dispatch, or of the first request in the queue if that was later.
    [[nodiscard]] base::MonotonicTime waitingSince() const { return m_waitingSince; }
    /// Current virtual time. A flow with a higher tag must be kept while it is idle, so that a client can't avoid its
    /// charge by pausing.
    [[nodiscard]] double virtualTime() const { return m_virtualTime; }

private:
    struct ByTag {
        bool operator()(const Flow* left, const Flow* right) const
        {
            return std::pair(left->startTag, left->serial) < std::pair(right->startTag, right->serial);
        }
    };

    void activate(Flow& flow);
    void deactivate(Flow& flow);

    std::set<Flow*, ByTag> m_active;
    std::size_t m_size = 0;
    double m_queuedCost = 0.0;
    double m_activeWeight = 0.0;
    double m_virtualTime = 0.0;
    base::MonotonicTime m_waitingSince;
};

} // namespace crocuscove::routing
