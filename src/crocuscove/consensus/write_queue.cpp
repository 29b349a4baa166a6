#include "crocuscove/consensus/write_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuscove::consensus {

namespace {

/// Tells whether a message may be sent once the term is durable, as it acknowledges no other durable state.
bool needsOnlyTerm(const Message& message)
{
    return std::holds_alternative<AppendRequest>(message.body) || std::holds_alternative<SnapshotChunk>(message.body);
}

} // namespace

std::vector<Message> WriteQueue::add(Ready& ready)
{
    Item item;
    item.hasHardState = ready.hardState.has_value();
    if (!ready.entries.empty()) {
        item.firstIndex = ready.entries.front().index;
        item.lastIndex = ready.entries.back().index;
    }
    std::vector<Message> messages = std::exchange(ready.messages, {});
    if (m_items.empty() && !item.needsWrite()) {
        return messages;
    }
    const bool isTermDurable = !item.hasHardState && std::ranges::none_of(m_items, &Item::hasHardState);
    const auto held = std::stable_partition(messages.begin(), messages.end(),
        [&](const Message& message) { return isTermDurable && needsOnlyTerm(message); });
    item.messages.assign(std::make_move_iterator(held), std::make_move_iterator(messages.end()));
    messages.erase(held, messages.end());
    item.write = { ready.hardState, std::exchange(ready.entries, {}) };
    if (item.needsWrite() || !item.messages.empty()) {
        m_items.push_back(std::move(item));
    }
    return messages;
}

std::vector<PendingWrite> WriteQueue::start()
{
    std::vector<PendingWrite> writes;
    if (m_writing == 0) {
        m_writing = m_items.size();
        std::ranges::for_each(m_items, [&](Item& item) {
            if (item.needsWrite()) {
                writes.push_back(std::exchange(item.write, {}));
            }
        });
    }
    return writes;
}

WriteQueue::Finished WriteQueue::finish()
{
    Finished result;
    const auto takeFront = [&] {
        Item& item = m_items.front();
        result.durable = item.lastIndex > 0 ? item.lastIndex : result.durable;
        std::ranges::move(item.messages, std::back_inserter(result.messages));
        m_items.pop_front();
    };
    for (; m_writing > 0; --m_writing) {
        takeFront();
    }
    while (!m_items.empty() && !m_items.front().needsWrite()) {
        takeFront();
    }
    std::ranges::for_each(m_items, [&](const Item& item) {
        if (item.lastIndex > 0) {
            result.durable = std::min(result.durable, item.firstIndex - 1);
        }
    });
    return result;
}

} // namespace crocuscove::consensus
