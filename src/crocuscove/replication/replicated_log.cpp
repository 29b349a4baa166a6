#include "crocuscove/replication/replicated_log.h"

#include "crocuscove/base/error.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuscove::replication {

namespace {

using namespace std::chrono_literals;

/// A node without contact to a quorum for longer than this reports that it is not ready.
constexpr base::Milliseconds stalenessBound { 3000 };
constexpr std::size_t maxPendingProposals = 65536;
constexpr std::size_t maxPendingReads = 4096;
/// A snapshot is taken when the log in memory is larger than this, and up to half as much more on some nodes: a
/// snapshot holds up the loop, and a quorum must not be held up at the same time.
constexpr std::size_t compactionBytes = std::size_t { 8 } * 1024 * 1024;
/// A leader waits until its log is this many times larger than that, so that the others have taken their snapshots
/// before: everyone waits for a leader that a snapshot holds up, and no one for a follower.
constexpr std::size_t leaderCompactionFactor = 3;
/// Entries kept before a snapshot, so that a follower that lags a little needs no snapshot.
constexpr consensus::Index entriesKept = 1024;
/// Entries kept at most for a member that catches up.
constexpr consensus::Index mostEntriesKept = 8192;
/// Bytes of the entries kept at most.
constexpr std::size_t maxKeptBytes = compactionBytes / 2;
/// No entries are kept for a member that has acknowledged nothing for this long. Longer than an election.
constexpr base::Milliseconds catchUpContact { 3'000 };
/// Entries applied in one turn of the loop before others get theirs; some milliseconds on a small VM.
constexpr std::size_t maxAppliedPerTurn = 256;
constexpr base::Milliseconds pendingCheckInterval { 50 };
/// Pause between attempts to use a disk again that failed.
constexpr base::Milliseconds returnInterval { 200 };
/// A failure within this time after a return doubles the pause before the next return, up to a bound.
constexpr base::Milliseconds stableAfterReturn { 5'000 };
constexpr unsigned maxDoublings = 5;
/// Pause after a snapshot that the disk had no room for.
constexpr base::Milliseconds compactionRetryInterval { 5'000 };
/// Interval of log lines about a disk that goes on failing.
constexpr base::Milliseconds failureLogInterval { 5'000 };
constexpr std::chrono::hours longestSleep { 1 };

} // namespace

ReplicatedLog::ReplicatedLog(http::EventLoop& loop, ReplicatedLogOptions options, const base::Log& log,
    base::Random& random, ReplicatedLogHooks hooks)
    : m_loop(loop)
    , m_log(log)
    , m_hooks(std::move(hooks))
    , m_options(std::move(options))
    , m_random(random())
    , m_compactionBytes(compactionBytes + random() % (compactionBytes / 2))
    , m_folder(openFolder())
    , m_raft(makeRaft())
{
    restoreRecoveredSnapshot();
    if (m_folder) {
        m_writer = std::make_unique<DiskWriter>(
            m_loop, *m_folder, [this](const std::exception_ptr& error) { onWritten(error); });
    }
    scheduleFlush();
}

/// Loads the recovered snapshot into the state machine, unless the state is newer already.
void ReplicatedLog::restoreRecoveredSnapshot()
{
    m_snapshotIndex = m_raft.compactedIndex();
    m_reported = m_snapshotIndex;
    if (m_snapshotIndex > m_applied) {
        m_hooks.restoreSnapshot(m_restoredSnapshot);
        m_applied = m_snapshotIndex;
    }
    m_restoredSnapshot = {};
}

std::optional<storage::DataFolder> ReplicatedLog::openFolder()
{
    if (m_options.dataFolder.empty()) {
        return std::nullopt;
    }
    storage::DataFolderOptions folderOptions;
    folderOptions.path = m_options.dataFolder;
    folderOptions.files = m_options.files;
    auto folder = storage::DataFolder::open(std::move(folderOptions));
    auto recovered = folder.takeRecovered();
    const bool isNew = recovered.isNew;
    keepRecovered(std::move(recovered));
    // An interrupted first start may leave the hard state of the bootstrap without its entries.
    const bool isUnused = m_restored.snapshot.index == 0 && m_restored.entries.empty()
        && m_restored.hardState.term <= consensus::bootstrap({}).hardState.term;
    if (m_options.nodeFromFolder) {
        m_options.node = m_options.nodeFromFolder(folder.folderId());
    }
    const auto first
        = isUnused && m_options.firstMembership ? m_options.firstMembership(m_options.node) : consensus::Membership {};
    if (first.isVoter(m_options.node)) {
        m_restored = consensus::bootstrap(first);
        folder.append(m_restored.hardState, m_restored.entries);
        folder.sync();
    }
    m_log.info("data_folder_opened",
        { { "path", m_options.dataFolder }, { "new", isNew }, { "snapshot", m_restored.snapshot.index },
            { "entries", m_restored.entries.size() } });
    return folder;
}

void ReplicatedLog::keepRecovered(storage::Recovered recovered)
{
    if (recovered.tornTail) {
        m_log.warning("torn_tail_removed",
            { { "file", recovered.tornTail->file }, { "offset", recovered.tornTail->offset },
                { "bytes", recovered.tornTail->removedBytes } });
    }
    m_restored = std::move(recovered.restored);
    m_restoredSnapshot = std::move(recovered.snapshotData);
}

consensus::Raft ReplicatedLog::makeRaft()
{
    consensus::RaftOptions raftOptions;
    raftOptions.self = m_options.node;
    raftOptions.heartbeatInterval = m_options.heartbeatInterval;
    raftOptions.electionTimeoutMin = m_options.electionTimeoutMin;
    raftOptions.electionTimeoutMax = m_options.electionTimeoutMax;
    raftOptions.maxCommittedEntries = maxAppliedPerTurn;
    raftOptions.readSnapshot = [this](consensus::Index index, std::uint64_t offset, std::size_t maxBytes) {
        return m_folder ? readSnapshot(index, offset, maxBytes) : std::string();
    };
    return { std::move(raftOptions), std::exchange(m_restored, {}), base::Random(m_random()), base::monotonicNow() };
}

std::string ReplicatedLog::readSnapshot(consensus::Index index, std::uint64_t offset, std::size_t maxBytes) const
{
    try {
        return m_folder->readSnapshot(index, offset, maxBytes);
    } catch (const storage::StorageError& error) {
        // The follower asks again with the next heartbeat.
        m_log.warning("snapshot_unreadable", { { "cause", error.what() } });
        return {};
    }
}

void ReplicatedLog::step(const consensus::Message& message)
{
    if (m_hasStorageFailed) {
        return;
    }
    m_raft.step(base::monotonicNow(), message);
    scheduleFlush();
}

void ReplicatedLog::propose(std::string data, base::MonotonicTime deadline, ProposalCallback callback)
{
    const auto index = m_proposals.size() < maxPendingProposals && !m_hasStorageFailed
        ? m_raft.propose(base::monotonicNow(), std::move(data))
        : std::nullopt;
    if (!index) {
        callback(ProposalOutcome::NotExecuted);
        return;
    }
    auto replaced = m_proposals.extract(*index);
    m_proposals.emplace(*index, PendingProposal { m_raft.term(), deadline, std::move(callback) });
    scheduleFlush();
    if (!replaced.empty()) {
        // A leader in between removed the earlier entry here. Another node may still hold it, and lead later.
        replaced.mapped().callback(ProposalOutcome::Unknown);
    }
}

bool ReplicatedLog::proposeMembership(const consensus::MembershipChange& change)
{
    const bool isProposed = !m_hasStorageFailed && m_raft.proposeMembership(base::monotonicNow(), change).has_value();
    scheduleFlush();
    return isProposed;
}

void ReplicatedLog::confirmCurrent(base::MonotonicTime deadline, std::function<void(bool isCurrent)> callback)
{
    const std::uint64_t context = m_nextRead++;
    if (m_hasStorageFailed || m_reads.size() >= maxPendingReads || !m_raft.readIndex(base::monotonicNow(), context)) {
        callback(false);
        return;
    }
    m_reads.emplace(context, PendingRead { deadline, std::nullopt, std::move(callback) });
    scheduleFlush();
}

bool ReplicatedLog::isCurrent(base::MonotonicTime now) const
{
    const auto contact = m_raft.lastQuorumContact();
    return m_hasCaughtUp && contact && now - *contact <= stalenessBound;
}

// All work of one event loop iteration is flushed together. Entries that arrive during a write share the next fsync.
void ReplicatedLog::scheduleFlush()
{
    if (m_isFlushScheduled) {
        return;
    }
    m_isFlushScheduled = true;
    m_loop.post([this] {
        m_isFlushScheduled = false;
        flush();
    });
}

void ReplicatedLog::flush()
{
    advance([] {});
}

// Pending Readies are queued before the write completes, since they may replace entries that were just written.
void ReplicatedLog::onWritten(const std::exception_ptr& error)
{
    advance([&] {
        finishWrite(error);
        takeAll();
    });
}

void ReplicatedLog::advance(const std::function<void()>& work)
{
    if (m_hasStorageFailed) {
        return;
    }
    const auto appliedBefore = m_applied;
    try {
        takeAll();
        work();
        compactIfLarge();
        startWrite();
        // Before it hears from a leader, a restarted node knows only what its snapshot holds.
        m_hasCaughtUp = m_hasCaughtUp
            || (m_raft.lastQuorumContact() && m_raft.commitIndex() > 0 && m_applied >= m_raft.commitIndex());
    } catch (const storage::StorageError& error) {
        leaveConsensus(error);
    }
    if (!m_hasStorageFailed) {
        completeReads();
        armTimer();
    }
    if (m_applied != appliedBefore) {
        m_hooks.onApplied();
    }
}

void ReplicatedLog::takeAll()
{
    std::size_t applied = 0;
    for (auto ready = m_raft.takeReady(); !ready.empty(); ready = m_raft.takeReady()) {
        persist(ready);
        std::ranges::for_each(ready.committed, [this](const consensus::Entry& entry) { applyEntry(entry); });
        applied += ready.committed.size();
        finishReads(ready.reads);
        if (ready.roleChange) {
            m_log.info("role_changed",
                { { "role", consensus::roleName(ready.roleChange->role) }, { "term", ready.roleChange->term },
                    { "leader", ready.roleChange->leader.text() } });
            m_hooks.onRoleChange(*ready.roleChange);
        }
        if (applied >= maxAppliedPerTurn) {
            // After a restart the whole log is committed at once. A leader that applied it in one turn would send no
            // heartbeat meanwhile, and lose its leadership.
            scheduleFlush();
            return;
        }
    }
}

// The contents of the disk are unknown after a failed write, so this node must neither vote nor acknowledge entries
// until it has read its data folder again. Its state stays readable.
void ReplicatedLog::leaveConsensus(const storage::StorageError& error)
{
    m_hasStorageFailed = true;
    m_hasCaughtUp = false;
    m_storageFailedAt = base::monotonicNow();
    m_nextFailureLogAt = m_storageFailedAt + failureLogInterval;
    m_log.error("storage_failed",
        { { "cause", error.what() }, { "effect", "the node leaves consensus until its disk takes writes again" } });
    std::ranges::for_each(std::exchange(m_proposals, {}),
        [](const auto& proposal) { proposal.second.callback(ProposalOutcome::Unknown); });
    std::ranges::for_each(std::exchange(m_reads, {}), [](const auto& read) { read.second.callback(false); });
    m_writes = {};
    m_hooks.onRoleChange({ consensus::Role::Follower, m_raft.term(), {} });
    m_hooks.onStorageChange(false);
    const bool isRepeated = m_storageFailedAt - m_returnedAt < stableAfterReturn;
    m_repeatedFailures = isRepeated ? std::min(m_repeatedFailures + 1, maxDoublings) : 0;
    m_timer = m_loop.runAt(m_storageFailedAt + returnInterval * (1U << m_repeatedFailures), [this] { tryToReturn(); });
}

void ReplicatedLog::tryToReturn()
{
    try {
        returnToConsensus();
    } catch (const storage::StorageError& error) {
        if (!storage::isTemporary(error.fault())) {
            throw;
        }
        const auto now = base::monotonicNow();
        if (now >= m_nextFailureLogAt) {
            m_nextFailureLogAt = now + failureLogInterval;
            m_log.warning("storage_still_failing", { { "cause", error.what() }, { "since_ms", failedForMs() } });
        }
        m_timer = m_loop.runAt(now + returnInterval, [this] { tryToReturn(); });
    }
}

// As a restart would, but keeps the state: what was applied is committed, so that the log can't contradict it.
void ReplicatedLog::returnToConsensus()
{
    m_folder->reopen();
    keepRecovered(m_folder->takeRecovered());
    m_raft = makeRaft();
    const auto appliedBefore = m_applied;
    restoreRecoveredSnapshot();
    m_hasStorageFailed = false;
    m_returnedAt = base::monotonicNow();
    m_log.info("storage_recovered",
        { { "failed_for_ms", failedForMs() }, { "term", m_raft.term() }, { "last_index", m_raft.lastIndex() } });
    m_hooks.onStorageChange(true);
    if (m_applied != appliedBefore) {
        m_hooks.onApplied();
    }
    scheduleFlush();
}

std::int64_t ReplicatedLog::failedForMs() const
{
    return std::chrono::duration_cast<base::Milliseconds>(base::monotonicNow() - m_storageFailedAt).count();
}

void ReplicatedLog::persist(consensus::Ready& ready)
{
    if (ready.snapshot) {
        finishAllWrites();
        installSnapshot(*ready.snapshot);
    }
    std::ranges::for_each(m_writes.add(ready), m_hooks.send);
    if (!m_writer) {
        static_cast<void>(m_writes.start());
        finishWrite(nullptr);
    }
}

void ReplicatedLog::startWrite()
{
    if (!m_writer || m_writer->isWriting()) {
        return;
    }
    auto writes = m_writes.start();
    if (!writes.empty()) {
        m_writer->write(std::move(writes));
    }
}

void ReplicatedLog::finishWrite(const std::exception_ptr& error)
{
    if (error) {
        std::rethrow_exception(error);
    }
    const auto finished = m_writes.finish();
    if (finished.durable > 0) {
        m_raft.persisted(finished.durable);
    }
    std::ranges::for_each(finished.messages, m_hooks.send);
}

void ReplicatedLog::finishAllWrites()
{
    while (!m_writes.isIdle()) {
        startWrite();
        finishWrite(m_writer->wait());
    }
}

void ReplicatedLog::installSnapshot(const consensus::SnapshotToInstall& snapshot)
{
    if (m_folder) {
        m_folder->saveSnapshot(snapshot.meta, snapshot.data);
    }
    if (snapshot.meta.index > m_applied) {
        m_hooks.restoreSnapshot(snapshot.data);
        m_applied = snapshot.meta.index;
    }
    m_reported = snapshot.meta.index;
    m_snapshotIndex = snapshot.meta.index;
    m_log.info("snapshot_installed", { { "index", snapshot.meta.index }, { "bytes", snapshot.data.size() } });
}

void ReplicatedLog::applyEntry(const consensus::Entry& entry)
{
    m_reported = entry.index;
    if (entry.index <= m_applied) {
        return;
    }
    m_applied = entry.index;
    if (entry.kind == consensus::EntryKind::Normal) {
        m_hooks.apply(entry.index, entry.data);
    }
    auto pending = m_proposals.extract(entry.index);
    if (!pending.empty()) {
        const bool isOwnEntry = pending.mapped().term == entry.term;
        pending.mapped().callback(isOwnEntry ? ProposalOutcome::Applied : ProposalOutcome::NotExecuted);
    }
}

void ReplicatedLog::finishReads(const std::vector<consensus::ReadResult>& reads)
{
    for (const consensus::ReadResult& read : reads) {
        const auto pending = m_reads.find(read.context);
        if (pending == m_reads.end()) {
            continue;
        }
        if (read.confirmed) {
            pending->second.index = read.index;
        } else {
            const auto callback = std::move(pending->second.callback);
            m_reads.erase(pending);
            callback(false);
        }
    }
}

void ReplicatedLog::completeReads()
{
    std::vector<std::function<void(bool)>> callbacks;
    std::erase_if(m_reads, [&](auto& read) {
        if (!read.second.index || *read.second.index > m_applied) {
            return false;
        }
        callbacks.push_back(std::move(read.second.callback));
        return true;
    });
    std::ranges::for_each(callbacks, [](const auto& callback) { callback(true); });
}

void ReplicatedLog::expirePending()
{
    const auto now = base::monotonicNow();
    std::vector<ProposalCallback> proposals;
    std::erase_if(m_proposals, [&](auto& proposal) {
        const bool isExpired = proposal.second.deadline <= now;
        if (isExpired) {
            proposals.push_back(std::move(proposal.second.callback));
        }
        return isExpired;
    });
    std::vector<std::function<void(bool)>> reads;
    std::erase_if(m_reads, [&](auto& read) {
        const bool isExpired = read.second.deadline <= now;
        if (isExpired) {
            reads.push_back(std::move(read.second.callback));
        }
        return isExpired;
    });
    std::ranges::for_each(proposals, [](const auto& callback) { callback(ProposalOutcome::Unknown); });
    std::ranges::for_each(reads, [](const auto& callback) { callback(false); });
}

std::size_t ReplicatedLog::largestLogBytes() const
{
    const bool hasFollowers = isLeader() && m_raft.membership().voters.size() > 1;
    return m_compactionBytes * (hasFollowers ? leaderCompactionFactor : 1);
}

void ReplicatedLog::compactIfLarge()
{
    // The core can't describe the state while it is behind it.
    if (m_raft.logBytes() < largestLogBytes() || m_applied <= m_snapshotIndex || m_reported < m_applied
        || base::monotonicNow() < m_nextCompactionAt) {
        return;
    }
    finishAllWrites();
    const auto saved = saveSnapshot(m_raft.snapshotMetaAt(m_applied));
    if (!saved) {
        return;
    }
    const consensus::SnapshotMeta& meta = *saved;
    m_snapshotIndex = meta.index;
    // Fewer entries are kept if those for the members that lag most are too large.
    for (const consensus::Index keptAfter : compactionChoices(meta.index)) {
        m_raft.compact(keptAfter, meta);
        if (m_raft.logBytes() <= maxKeptBytes) {
            break;
        }
    }
    m_log.info("log_compacted",
        { { "index", meta.index }, { "snapshot_bytes", meta.size },
            { "kept_entries", meta.index - m_raft.compactedIndex() }, { "kept_bytes", m_raft.logBytes() } });
    scheduleFlush();
}

std::vector<consensus::Index> ReplicatedLog::compactionChoices(consensus::Index snapshotIndex) const
{
    const auto before = [&](consensus::Index entries) { return snapshotIndex - std::min(snapshotIndex, entries); };
    const auto first = std::max(before(mostEntriesKept), m_raft.compactedIndex());
    const auto usual = std::max(before(entriesKept), first);
    const auto now = base::monotonicNow();
    std::vector<consensus::Index> choices { usual, snapshotIndex };
    const auto keepFor = [&](const base::NodeId& member) {
        const auto contact = m_raft.lastContact(member);
        const auto match = m_raft.matchIndex(member);
        if (contact && match && now - *contact <= catchUpContact && *match >= first && *match < usual) {
            choices.push_back(*match);
        }
    };
    std::ranges::for_each(m_raft.membership().voters, keepFor);
    std::ranges::for_each(m_raft.membership().learners, keepFor);
    std::ranges::sort(choices);
    return choices;
}

std::optional<consensus::SnapshotMeta> ReplicatedLog::saveSnapshot(consensus::SnapshotMeta meta)
{
    if (!m_folder) {
        return meta;
    }
    try {
        return m_folder->saveSnapshot(std::move(meta), m_hooks.encodeSnapshot());
    } catch (const storage::StorageError& error) {
        if (m_folder->hasFailed() || !storage::isTemporary(error.fault())) {
            throw;
        }
        m_nextCompactionAt = base::monotonicNow() + compactionRetryInterval;
        m_log.warning("snapshot_failed", { { "cause", error.what() }, { "log_bytes", m_raft.logBytes() } });
        return std::nullopt;
    }
}

void ReplicatedLog::armTimer()
{
    const auto now = base::monotonicNow();
    auto next = std::min(m_raft.nextDeadline(), base::MonotonicTime(now + longestSleep));
    if (!m_proposals.empty() || !m_reads.empty()) {
        next = std::min(next, base::MonotonicTime(now + pendingCheckInterval));
    }
    m_timer = m_loop.runAt(next, [this] {
        if (m_hasStorageFailed) {
            return;
        }
        m_raft.tick(base::monotonicNow());
        expirePending();
        flush();
    });
}

} // namespace crocuscove::replication
