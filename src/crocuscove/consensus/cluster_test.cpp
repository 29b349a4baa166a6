#include "crocuscove/consensus/cluster_test.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace crocuscove::consensus {

namespace {

/// Large enough that a snapshot needs several chunks of the size that the tests use.
constexpr std::size_t snapshotPadding = 1000;
constexpr std::size_t snapshotChunkBytes = 256;
constexpr double messageCodecShare = 0.1;
constexpr std::size_t maxNetworkMessages = 5000;
constexpr base::Milliseconds calmDelay { 2 };

std::string encodeState(const TestState& state)
{
    return fmt::format("{} {} {}", state.index, state.digest, std::string(snapshotPadding, 'x'));
}

} // namespace

base::NodeId testNodeName(std::size_t number) { return base::NodeId(fmt::format("n{}", number)); }

const Entry* TestDisk::find(Index index) const
{
    return index > snapshot.index && index <= lastIndex() ? &entries[index - snapshot.index - 1] : nullptr;
}

void TestDisk::append(const Entry& entry)
{
    entries.resize(entry.index - snapshot.index - 1);
    entries.push_back(entry);
}

void TestDisk::write(const PendingWrite& write)
{
    hardState = write.hardState.value_or(hardState);
    std::ranges::for_each(write.entries, [this](const Entry& entry) { append(entry); });
}

void TestDisk::dropThrough(Index index)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min<std::size_t>(index - snapshot.index, entries.size()));
    entries.erase(entries.begin(), entries.begin() + count);
}

Cluster::Cluster(ClusterOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    Membership membership;
    for (std::size_t i = 0; i < options.voters; ++i) {
        membership.voters.push_back(testNodeName(m_nextNode++));
    }
    const Restored start = bootstrap(membership);
    for (const base::NodeId& id : membership.voters) {
        m_nodes[id].disk.hardState = start.hardState;
        m_nodes[id].disk.entries = start.entries;
        restart(id);
    }
}

void Cluster::run(std::size_t steps)
{
    m_isCalm = false;
    for (std::size_t i = 0; i < steps && m_violation.empty(); ++i) {
        step(true);
    }
    m_isCalm = true;
}

void Cluster::heal(std::size_t steps)
{
    m_blocked.clear();
    for (auto& [id, node] : m_nodes) {
        if (!node.raft && !node.isLost) {
            restart(id);
        }
    }
    for (std::size_t i = 0; i < steps && m_violation.empty(); ++i) {
        step(false);
        if (i % 64 == 0 && hasConverged()) {
            checkLogs();
            return;
        }
    }
    fail(fmt::format("no convergence within {} steps after all faults ended{}", steps, describe()));
}

void Cluster::runCalmly(base::Milliseconds time, const std::function<bool()>& done)
{
    const base::MonotonicTime end = m_now + time;
    while (m_now < end && m_violation.empty() && !(done && done())) {
        step(false);
    }
}

/// Advances the simulated time to the next message or deadline and handles it.
void Cluster::step(bool faults)
{
    ++m_steps;
    if (faults) {
        disturb();
    }
    base::NodeId due;
    base::MonotonicTime deadline = base::MonotonicTime::max();
    for (const auto& [id, node] : m_nodes) {
        if (node.raft && node.raft->nextDeadline() < deadline) {
            deadline = node.raft->nextDeadline();
            due = id;
        }
    }
    for (auto& [id, node] : m_nodes) {
        if (node.raft && !node.writing.empty() && (!faults || chance(m_options.writeEnd))) {
            endWrite(node);
            drain(id, false);
        }
    }
    if (!m_network.empty() && m_network.begin()->first <= deadline) {
        m_now = std::max(m_now, m_network.begin()->first);
        const Message message = std::move(m_network.extract(m_network.begin()).mapped());
        deliver(message);
    } else if (!due.empty()) {
        m_now = std::max(m_now, deadline);
        act(due, [this](Raft& raft) { raft.tick(m_now); });
    } else {
        m_now += base::Milliseconds(1);
    }
    if (m_steps % 500 == 0) {
        checkLogs();
    }
}

void Cluster::deliver(const Message& message)
{
    const auto found = m_nodes.find(message.to);
    if (found == m_nodes.end() || !found->second.raft || m_blocked.contains({ message.from, message.to })) {
        return;
    }
    act(message.to, [this, &message](Raft& raft) { raft.step(m_now, message); });
}

void Cluster::act(const base::NodeId& id, const std::function<void(Raft&)>& call)
{
    TestNode& node = m_nodes.at(id);
    if (!node.raft) {
        return;
    }
    try {
        call(*node.raft);
        drain(id, !m_isCalm);
    } catch (const base::Error& error) {
        fail(fmt::format("{}: {}", id.text(), error.what()));
    }
}

void Cluster::loseDisk(const base::NodeId& id, bool keepsIdentity)
{
    crash(id);
    TestNode& node = m_nodes.at(id);
    node.disk = {};
    node.isLost = !keepsIdentity;
}

void Cluster::addNode(const base::NodeId& id)
{
    m_nodes.try_emplace(id);
    restart(id);
}

bool Cluster::waitForLeader()
{
    const auto isSettled = [this] {
        const std::optional<base::NodeId> id = leader();
        return id && node(*id).raft->commitIndex() == node(*id).raft->lastIndex();
    };
    runCalmly(base::Milliseconds(10000), isSettled);
    return isSettled();
}

// A crash may leave any prefix of the batches being written durable.
void Cluster::crash(const base::NodeId& id)
{
    TestNode& node = m_nodes.at(id);
    node.raft.reset();
    const std::size_t durable = node.writing.empty() ? 0 : below(node.writing.size() + 1);
    std::for_each_n(node.writing.begin(), durable, [&](const PendingWrite& write) { node.disk.write(write); });
    node.writing.clear();
    node.queued.clear();
    node.queue = {};
}

void Cluster::restart(const base::NodeId& id)
{
    TestNode& node = m_nodes.at(id);
    if (node.isLost) {
        return;
    }
    RaftOptions options;
    options.self = id;
    options.fault = m_options.fault;
    options.maxBatchEntries = m_options.maxBatchEntries;
    options.maxBatchBytes = m_options.maxBatchBytes;
    options.snapshotChunkBytes = snapshotChunkBytes;
    options.readSnapshot = [&node](Index index, std::uint64_t offset, std::size_t maxBytes) {
        return index == node.disk.snapshot.index ? node.disk.snapshotData.substr(offset, maxBytes) : std::string();
    };
    node.state = {};
    if (node.disk.snapshot.index > 0) {
        install(node, { node.disk.snapshot, node.disk.snapshotData });
    }
    node.raft.emplace(std::move(options), Restored { node.disk.hardState, node.disk.snapshot, node.disk.entries },
        base::Random(m_random()), m_now);
    drain(id, false);
}

void Cluster::compact(const base::NodeId& id)
{
    TestNode& node = m_nodes.at(id);
    if (!node.raft || node.state.index <= node.disk.snapshot.index) {
        return;
    }
    endAllWrites(node);
    SnapshotMeta meta = node.raft->snapshotMetaAt(node.state.index);
    const std::string data = encodeState(node.state);
    meta.size = data.size();
    meta.checksum = node.state.digest;
    node.disk.dropThrough(meta.index);
    node.disk.snapshot = meta;
    node.disk.snapshotData = data;
    const Index kept = below(10);
    const Index through = meta.index > kept ? meta.index - kept : 0;
    node.raft->compact(std::max(through, node.raft->compactedIndex()), meta);
}

void Cluster::drain(const base::NodeId& id, bool faults)
{
    TestNode& node = m_nodes.at(id);
    if (m_options.writeEnd < 1) {
        drainDelayed(id, faults);
        return;
    }
    for (Ready ready = node.raft->takeReady(); !ready.empty(); ready = node.raft->takeReady()) {
        if (!persist(node, ready, faults)) {
            crash(id);
            return;
        }
        if (!ready.entries.empty()) {
            node.raft->persisted(ready.entries.back().index);
        }
        for (const Message& message : ready.messages) {
            send(message);
        }
        if (faults && chance(m_options.crash / 4)) {
            crash(id);
            return;
        }
        finishReady(id, ready);
    }
}

void Cluster::finishReady(const base::NodeId& id, const Ready& ready)
{
    TestNode& node = m_nodes.at(id);
    std::ranges::for_each(ready.committed, [this, &node](const Entry& entry) { apply(node, entry); });
    std::ranges::for_each(ready.reads, [this, &id](const ReadResult& result) { checkRead(id, result); });
    if (ready.roleChange) {
        checkRole(id, *ready.roleChange);
    }
}

void Cluster::drainDelayed(const base::NodeId& id, bool faults)
{
    TestNode& node = m_nodes.at(id);
    for (Ready ready = node.raft->takeReady(); !ready.empty(); ready = node.raft->takeReady()) {
        if (faults && chance(m_options.crash / 2)) {
            crash(id);
            return;
        }
        if (ready.snapshot) {
            endAllWrites(node);
            Ready snapshotOnly;
            snapshotOnly.snapshot = std::exchange(ready.snapshot, std::nullopt);
            static_cast<void>(persist(node, snapshotOnly, false));
        }
        if (ready.needsSync()) {
            node.queued.push_back({ ready.hardState, ready.entries });
        }
        if (m_options.promisesBeforeWrite) {
            std::ranges::for_each(std::exchange(ready.messages, {}), [this](const Message& message) { send(message); });
        }
        std::ranges::for_each(node.queue.add(ready), [this](const Message& message) { send(message); });
        finishReady(id, ready);
    }
    startWrite(node);
}

void Cluster::startWrite(TestNode& node)
{
    if (node.writing.empty()) {
        node.writing = node.queue.start();
        node.queued.clear();
    }
}

void Cluster::endWrite(TestNode& node)
{
    const auto written = std::exchange(node.writing, {});
    std::ranges::for_each(written, [&](const PendingWrite& write) { node.disk.write(write); });
    const WriteQueue::Finished finished = node.queue.finish();
    if (finished.durable > 0) {
        node.raft->persisted(finished.durable);
    }
    std::ranges::for_each(finished.messages, [this](const Message& message) { send(message); });
}

void Cluster::endAllWrites(TestNode& node)
{
    while (!node.queue.isIdle()) {
        startWrite(node);
        endWrite(node);
    }
}

/// Returns false for a crash, which may leave a part of the Ready durable.
bool Cluster::persist(TestNode& node, const Ready& ready, bool faults)
{
    const bool crashes = faults && ready.needsSync() && chance(m_options.crash / 2);
    if (crashes && chance(0.3)) {
        return false;
    }
    if (ready.snapshot) {
        node.disk.snapshot = ready.snapshot->meta;
        node.disk.snapshotData = ready.snapshot->data;
        node.disk.entries.clear();
        install(node, *ready.snapshot);
    }
    if (ready.hardState || node.disk.hardState.term < node.disk.snapshot.term) {
        node.disk.hardState = ready.hardState.value_or(HardState { node.disk.snapshot.term, {} });
    }
    const std::size_t durable = crashes ? below(ready.entries.size() + 1) : ready.entries.size();
    std::for_each_n(ready.entries.begin(), durable, [&node](const Entry& entry) { node.disk.append(entry); });
    return !crashes;
}

void Cluster::send(const Message& message)
{
    if ((filter && !filter(message)) || m_network.size() > maxNetworkMessages) {
        return;
    }
    const bool faults = !m_isCalm;
    if (faults && chance(m_options.loss)) {
        return;
    }
    const std::size_t copies = faults && chance(m_options.repetition) ? 2 : 1;
    for (std::size_t i = 0; i < copies; ++i) {
        // Without faults the messages between two nodes stay in order, as on one TCP connection.
        base::MonotonicTime& last = m_lastDelivery[{ message.from, message.to }];
        const auto maxDelay = base::Microseconds(faults ? m_options.maxDelay : calmDelay).count();
        const base::MonotonicTime time = m_now + base::Microseconds(100 + below(maxDelay));
        last = faults ? time : std::max(last, time);
        m_network.emplace(last, chance(messageCodecShare) ? decodeMessage(encodeMessage(message)) : message);
    }
}

} // namespace crocuscove::consensus
