#pragma once

#include "crocuscove/consensus/raft.h"
#include "crocuscove/consensus/write_queue.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuscove::consensus {

/// Simulated disk of a node in the test cluster.
struct TestDisk {
    HardState hardState;
    SnapshotMeta snapshot;
    std::string snapshotData;
    std::vector<Entry> entries;

    [[nodiscard]] Index lastIndex() const { return snapshot.index + entries.size(); }
    [[nodiscard]] const Entry* find(Index index) const;
    void append(const Entry& entry);
    void write(const PendingWrite& write);
    void dropThrough(Index index);
};

base::NodeId testNodeName(std::size_t number);

/// State machine of a node: the last applied index and a hash over all applied entries.
struct TestState {
    Index index = 0;
    std::uint64_t digest = 0;
};

struct TestNode {
    TestDisk disk;
    TestState state;
    std::optional<Raft> raft;
    /// With delayed writes: the write queue, the batches being written and the batches waiting.
    WriteQueue queue;
    std::vector<PendingWrite> writing;
    std::vector<PendingWrite> queued;
    /// The disk was lost; the identity is never used again.
    bool isLost = false;
};

struct ClusterOptions {
    std::uint64_t seed = 1;
    std::size_t voters = 3;
    Fault fault = Fault::None;
    /// Probabilities for each message.
    double loss = 0.05;
    double repetition = 0.05;
    /// Probabilities for each step.
    double crash = 0.002;
    double partition = 0.002;
    double compaction = 0.002;
    double membershipChange = 0;
    double diskLoss = 0;
    double proposal = 0.1;
    double read = 0.05;
    /// Probability at each step that a node's write completes; 1 makes every write synchronous.
    double writeEnd = 1;
    /// With delayed writes, injects a fault: messages are sent before the state they acknowledge is durable.
    bool promisesBeforeWrite = false;
    std::size_t maxBatchEntries = 4;
    std::size_t maxBatchBytes = 1024;
    base::Milliseconds maxDelay { 60 };
};

/// Nodes with a Raft core each, connected by a network that loses, repeats, delays and reorders messages. Every step is
/// determined by the seed. The first violated property is kept in violation().
class Cluster {
public:
    explicit Cluster(ClusterOptions options);

    /// Delivers one message or lets one deadline pass, with random faults. Stops at a violation.
    void run(std::size_t steps);
    /// Ends all faults, restarts all nodes and runs until all members have applied the same entries. Notes a
    /// violation when that takes longer than `steps`.
    void heal(std::size_t steps = 20000);
    /// Runs without random faults for a time, or until `done`.
    void runCalmly(base::Milliseconds time, const std::function<bool()>& done = nullptr);

    void crash(const base::NodeId& id);
    void restart(const base::NodeId& id);
    /// Crashes a node and empties its disk. The identity isn't used again unless `keepsIdentity`, which is unsafe for a
    /// voter.
    void loseDisk(const base::NodeId& id, bool keepsIdentity = false);
    void addNode(const base::NodeId& id);
    /// Saves a snapshot of what a node has applied and drops all but a few entries before it.
    void compact(const base::NodeId& id);
    /// Runs until a leader has committed its whole log.
    bool waitForLeader();
    /// Cuts or restores one direction.
    void setBlocked(const base::NodeId& from, const base::NodeId& to, bool blocked);
    void isolate(const base::NodeId& id, bool blocked);
    /// Runs a call on a running node and then handles its Ready.
    void act(const base::NodeId& id, const std::function<void(Raft&)>& call);

    [[nodiscard]] std::optional<base::NodeId> leader() const;
    [[nodiscard]] TestNode& node(const base::NodeId& id) { return m_nodes.at(id); }
    [[nodiscard]] base::MonotonicTime now() const { return m_now; }
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t steps() const { return m_steps; }
    [[nodiscard]] Index committedIndex() const { return m_committed.empty() ? 0 : m_committed.rbegin()->first; }
    [[nodiscard]] std::size_t confirmedReads() const { return m_confirmedReads; }
    [[nodiscard]] std::size_t installedSnapshots() const { return m_installedSnapshots; }
    [[nodiscard]] std::size_t committedChanges() const { return m_committedChanges; }
    [[nodiscard]] std::size_t electedLeaders() const { return m_leaders.size(); }

    [[nodiscard]] const std::map<base::NodeId, TestNode>& nodes() const { return m_nodes; }

    /// Sees every message that is sent; returns false to lose it.
    std::function<bool(const Message&)> filter;

private:
    struct Applied {
        Entry entry;
        std::uint64_t digest = 0;
    };

    void step(bool faults);
    void deliver(const Message& message);
    void disturb();
    void changePartition();
    void changeMembership();
    void replaceDisk();
    /// Handles all pending Readies of a node. With faults, the node may crash between the steps.
    void drain(const base::NodeId& id, bool faults);
    bool persist(TestNode& node, const Ready& ready, bool faults);
    void drainDelayed(const base::NodeId& id, bool faults);
    static void startWrite(TestNode& node);
    /// Makes what is being written durable.
    void endWrite(TestNode& node);
    void endAllWrites(TestNode& node);
    void finishReady(const base::NodeId& id, const Ready& ready);
    void send(const Message& message);
    void apply(TestNode& node, const Entry& entry);
    void install(TestNode& node, const SnapshotToInstall& snapshot);
    void startRead(const base::NodeId& id);

    void checkRole(const base::NodeId& id, const RoleChange& change);
    /// Checks that no leader of an earlier term still has an unexpired leadership confirmation.
    void checkNoLeaseRuns(const base::NodeId& id, Term term);
    void checkRead(const base::NodeId& id, const ReadResult& result);
    void checkLogs();
    void checkLeaderHasCommitted(const base::NodeId& id);
    void fail(const std::string& violation);
    [[nodiscard]] bool hasConverged() const;
    /// One line for each node, for the message of a violation.
    [[nodiscard]] std::string describe() const;
    [[nodiscard]] Membership committedMembership() const;
    /// Tells whether any node holds a membership entry that isn't known to be committed.
    [[nodiscard]] bool isMembershipChanging() const;

    bool chance(double probability) { return base::randomUnit(m_random) < probability; }
    std::size_t below(std::size_t bound) { return m_random() % bound; }
    base::NodeId anyNode();

    ClusterOptions m_options;
    base::Random m_random;
    base::MonotonicTime m_now { base::Microseconds { 1'000'000'000 } };
    std::map<base::NodeId, TestNode> m_nodes;
    std::multimap<base::MonotonicTime, Message> m_network;
    std::set<std::pair<base::NodeId, base::NodeId>> m_blocked;
    std::map<std::pair<base::NodeId, base::NodeId>, base::MonotonicTime> m_lastDelivery;
    std::size_t m_steps = 0;
    std::size_t m_nextNode = 1;
    std::uint64_t m_nextContext = 1;
    std::uint64_t m_nextValue = 1;
    std::size_t m_confirmedReads = 0;
    std::size_t m_installedSnapshots = 0;
    std::size_t m_committedChanges = 0;

    /// No random faults happen outside run().
    bool m_isCalm = true;
    std::map<Index, Applied> m_committed;
    std::map<Term, base::NodeId> m_leaders;
    /// The highest index that was committed when a read began.
    std::map<std::pair<base::NodeId, std::uint64_t>, Index> m_reads;
    std::string m_violation;
};

} // namespace crocuscove::consensus
