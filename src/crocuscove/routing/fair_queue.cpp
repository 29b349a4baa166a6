#include "crocuscove/routing/fair_queue.h"

#include <algorithm>

namespace crocuscove::routing {

void FairQueue::push(base::MonotonicTime now, Flow& flow, base::MonotonicTime deadline, RequestId request, double cost)
{
    if (m_size == 0) {
        m_waitingSince = now;
    }
    if (flow.requests.empty()) {
        flow.startTag = std::max(flow.startTag, m_virtualTime);
        activate(flow);
    }
    flow.requests.insert({ deadline, request });
    flow.queuedCost += cost;
    m_queuedCost += cost;
    ++m_size;
}

void FairQueue::remove(Flow& flow, base::MonotonicTime deadline, RequestId request, double cost)
{
    if (flow.requests.erase({ deadline, request }) == 0) {
        return;
    }
    --m_size;
    flow.queuedCost = std::max(flow.queuedCost - cost, 0.0);
    m_queuedCost = std::max(m_queuedCost - cost, 0.0);
    if (flow.requests.empty()) {
        deactivate(flow);
        flow.queuedCost = 0.0;
    }
    if (m_size == 0) {
        m_queuedCost = 0.0;
    }
}

void FairQueue::dispatch(
    base::MonotonicTime now, Flow& flow, base::MonotonicTime deadline, RequestId request, double cost)
{
    m_virtualTime = std::max(m_virtualTime, flow.startTag);
    m_waitingSince = now;
    remove(flow, deadline, request, cost);
    charge(flow, cost);
}

void FairQueue::charge(Flow& flow, double cost)
{
    const bool isActive = !flow.requests.empty();
    if (isActive) {
        m_active.erase(&flow);
    }
    flow.startTag += cost / flow.weight;
    if (isActive) {
        m_active.insert(&flow);
    }
}

std::optional<RequestId> FairQueue::front() const
{
    return m_active.empty() ? std::nullopt : std::optional((*m_active.begin())->requests.begin()->second);
}

void FairQueue::activate(Flow& flow)
{
    m_active.insert(&flow);
    m_activeWeight += flow.weight;
}

void FairQueue::deactivate(Flow& flow)
{
    m_active.erase(&flow);
    m_activeWeight = m_active.empty() ? 0.0 : m_activeWeight - flow.weight;
}

} // namespace crocuscove::routing
