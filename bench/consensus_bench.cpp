// Measures the Raft core alone: three voters in memory, with every message encoded and decoded. Commits by batches
// against one entry at a time, and the catch-up of a node that is 100,000 entries behind.

#include "crocuscove/consensus/raft.h"
#include "report.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace crocuscove::bench {
namespace {

using base::NodeId;
using consensus::Message;
using consensus::Raft;
using consensus::Ready;

constexpr std::size_t entryBytes = 200;
constexpr std::size_t entriesBehind = 100'000;
constexpr std::size_t measuredEntries = 50'000;
constexpr std::size_t proposalsEachTurn = 256;
constexpr double maxCatchUpMs = 5000.0;

/// Three voters with messages in order and nothing on disk.
class Trio {
public:
    Trio()
    {
        const consensus::Membership membership { { NodeId("a"), NodeId("b"), NodeId("c") }, {} };
        for (const NodeId& id : membership.voters) {
            m_nodes.emplace(id, Raft({ .self = id }, consensus::bootstrap(membership), base::Random(1), m_now));
        }
        while (leader().role() != consensus::Role::Leader) {
            leader().tick(m_now += base::Milliseconds(1000));
            settle();
        }
    }

    Raft& leader() { return m_nodes.at(NodeId("a")); }
    Raft& follower() { return m_nodes.at(NodeId("c")); }
    void setCutOff(bool cutOff) { m_isCutOff = cutOff; }

    void propose(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            leader().propose(m_now, std::string(entryBytes, 'd'));
        }
        settle();
    }

    void heartbeat()
    {
        leader().tick(m_now += base::Milliseconds(100));
        settle();
    }

    /// Bytes of the messages between all nodes.
    [[nodiscard]] std::size_t messageBytes() const { return m_messageBytes; }

private:
    void settle()
    {
        bool isBusy = true;
        while (isBusy) {
            isBusy = false;
            for (auto& [id, raft] : m_nodes) {
                isBusy = drain(raft) || isBusy;
            }
            while (!m_messages.empty()) {
                const Message message = consensus::decodeMessage(m_messages.front());
                m_messages.pop_front();
                m_nodes.at(message.to).step(m_now, message);
            }
        }
    }

    bool drain(Raft& raft)
    {
        const Ready ready = raft.takeReady();
        if (!ready.entries.empty()) {
            raft.persisted(ready.entries.back().index);
        }
        for (const Message& message : ready.messages) {
            const bool isLost = m_isCutOff && (message.to == NodeId("c") || message.from == NodeId("c"));
            if (!isLost) {
                m_messages.push_back(consensus::encodeMessage(message));
                m_messageBytes += m_messages.back().size();
            }
        }
        return !ready.empty();
    }

    base::MonotonicTime m_now { base::Milliseconds(1000) };
    std::map<NodeId, Raft> m_nodes;
    std::deque<std::string> m_messages;
    std::size_t m_messageBytes = 0;
    bool m_isCutOff = false;
};

double commitsPerSecond(std::size_t batch)
{
    Trio trio;
    const std::size_t turns = measuredEntries / batch;
    const std::vector<double> durations = timeRuns(1, [&] {
        for (std::size_t turn = 0; turn < turns; ++turn) {
            trio.propose(batch);
        }
    });
    const double rate = static_cast<double>(turns * batch) * 1000.0 / durations.front();
    report(fmt::format("commits a second, {} proposals a turn, all nodes on one core", batch), rate, "1/s");
    return rate;
}

void measureCatchUp()
{
    Trio trio;
    trio.setCutOff(true);
    for (std::size_t i = 0; i < entriesBehind; i += proposalsEachTurn) {
        trio.propose(proposalsEachTurn);
    }
    trio.setCutOff(false);
    const auto behind = trio.leader().lastIndex() - trio.follower().lastIndex();
    const std::vector<double> durations = timeRuns(1, [&] {
        while (trio.follower().commitIndex() < trio.leader().commitIndex()) {
            trio.heartbeat();
        }
    });
    report("entries behind", static_cast<double>(behind), "");
    report("catch-up in the core, without network and disk", durations.front(), "ms", "<= 5000",
        durations.front() <= maxCatchUpMs);
}

void measureIdle()
{
    Trio trio;
    constexpr int heartbeats = 1000;
    const std::size_t before = trio.messageBytes();
    const std::vector<double> durations = timeRuns(1, [&trio] {
        for (int i = 0; i < heartbeats; ++i) {
            trio.heartbeat();
        }
    });
    report("idle: share of a core for three nodes at 10 heartbeats a second",
        durations.front() / (heartbeats * 100.0) * 100.0, "%");
    report("idle: bytes of one heartbeat and its answer",
        static_cast<double>(trio.messageBytes() - before) / (2.0 * heartbeats), "bytes");
}

void run()
{
    const double single = commitsPerSecond(1);
    report("256 proposals a turn against one", commitsPerSecond(proposalsEachTurn) / single, "times");
    measureCatchUp();
    measureIdle();
}

} // namespace
} // namespace crocuscove::bench

int main()
{
    crocuscove::bench::run();
    return 0;
}
