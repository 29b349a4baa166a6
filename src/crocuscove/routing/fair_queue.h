#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/routing/actions.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace crocuscove::routing {

/// What one client team has in one queue.
struct Flow {
    std::set<std::pair<base::MonotonicTime, RequestId>> requests;
    /// Virtual time up to which the client has been served.
    double tag = 0.0;
    double weight = 1.0;
    /// Expected run time of the queued requests, in seconds.
    double work = 0.0;
    /// Orders flows with equal tags.
    std::uint64_t serial = 0;
};

/// Queue of one class: weighted fair over flows by start-time fair queueing, by deadline within a flow. A flow is
/// charged the run time of its requests: the expected one when it is dispatched, corrected when it has ended.
class FairQueue {
public:
    FairQueue() = default;
    FairQueue(const FairQueue&) = delete;
    FairQueue& operator=(const FairQueue&) = delete;

    void push(base::MonotonicTime now, Flow& flow, base::MonotonicTime deadline, RequestId request, double cost);
    void remove(Flow& flow, base::MonotonicTime deadline, RequestId request, double cost);
    /// Removes the request that `front` returned and charges its flow.
    void dispatch(base::MonotonicTime now, Flow& flow, base::MonotonicTime deadline, RequestId request, double cost);
    /// Adds to the charge of a flow.
    void charge(Flow& flow, double cost);

    [[nodiscard]] std::optional<RequestId> front() const;
    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] bool empty() const { return m_size == 0; }
    [[nodiscard]] double work() const { return m_work; }
    /// Sum of the weights of the flows with queued requests.
    [[nodiscard]] double activeWeight() const { return m_activeWeight; }
    /// Since when the queue has waited for a dispatch.
    [[nodiscard]] base::MonotonicTime waitingSince() const { return m_waitingSince; }
    /// A flow with a higher tag is remembered, so that a client can't shed its charge by a pause.
    [[nodiscard]] double virtualTime() const { return m_virtualTime; }

private:
    struct ByTag {
        bool operator()(const Flow* left, const Flow* right) const
        {
            return std::pair(left->tag, left->serial) < std::pair(right->tag, right->serial);
        }
    };

    void activate(Flow& flow);
    void deactivate(Flow& flow);

    std::set<Flow*, ByTag> m_active;
    std::size_t m_size = 0;
    double m_work = 0.0;
    double m_activeWeight = 0.0;
    double m_virtualTime = 0.0;
    base::MonotonicTime m_waitingSince;
};

} // namespace crocuscove::routing
