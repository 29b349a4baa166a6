#include "crocuscove/consensus/raft_core.h"

#include <algorithm>

namespace crocuscove::consensus {

void Raft::Core::sendSnapshotChunk(const base::NodeId& node, Progress& progress)
{
    if (progress.snapshot != m_snapshot) {
        progress.becomeSnapshot(m_snapshot);
    }
    SnapshotChunk chunk;
    chunk.meta = progress.snapshot;
    chunk.offset = progress.snapshotOffset;
    chunk.sequence = ++m_snapshotSequence;
    chunk.round = m_round;
    // The first chunk is empty, because its answer tells the offset at which an interrupted transfer resumes. A
    // retransmission is empty too, so that no snapshot data is sent repeatedly to an unreachable node.
    if (progress.isOffsetKnown && !progress.awaitsAnswer) {
        chunk.data = m_options.readSnapshot
            ? m_options.readSnapshot(chunk.meta.index, chunk.offset, m_options.snapshotChunkBytes)
            : std::string();
        progress.snapshotSequence = chunk.sequence;
    }
    progress.awaitsAnswer = true;
    send(node, std::move(chunk));
}

void Raft::Core::handle(const Message& message, const SnapshotAnswer& answer)
{
    Progress* const progress = noteContact(message.from, answer.round);
    if (progress == nullptr || progress->state != ProgressState::Snapshot
        || progress->snapshot.index != answer.snapshotIndex) {
        return;
    }
    if (answer.installed) {
        progress->match = std::max(progress->match, answer.snapshotIndex);
        progress->becomeProbe(progress->match + 1);
        advanceCommit();
    } else if (answer.sequence >= progress->snapshotSequence && answer.nextOffset < progress->snapshot.size) {
        // Without progress the next chunk waits for a heartbeat, so that a lost snapshot file causes no busy loop.
        const bool advanced = !progress->isOffsetKnown || answer.nextOffset != progress->snapshotOffset;
        progress->isOffsetKnown = true;
        progress->snapshotOffset = answer.nextOffset;
        progress->awaitsAnswer = progress->awaitsAnswer && !advanced && answer.sequence == progress->snapshotSequence;
    }
}

void Raft::Core::handle(const Message& message, const SnapshotChunk& chunk)
{
    if (m_role == Role::Leader) {
        return;
    }
    noteLeader(message.from);
    const bool installed = receiveChunk(chunk);
    const std::uint64_t nextOffset = m_incoming ? m_incoming->data.size() : 0;
    send(message.from, SnapshotAnswer { chunk.meta.index, nextOffset, chunk.sequence, chunk.round, installed });
}

/// Returns whether the log now holds everything that the snapshot covers.
bool Raft::Core::receiveChunk(const SnapshotChunk& chunk)
{
    if (m_log.termAt(chunk.meta.index) == chunk.meta.term) {
        commitThrough(chunk.meta.index);
    }
    if (chunk.meta.index <= m_commit) {
        m_incoming.reset();
        return true;
    }
    if (chunk.meta.size > m_options.maxSnapshotBytes) {
        return false;
    }
    if (!m_incoming || m_incoming->meta != chunk.meta) {
        m_incoming = IncomingSnapshot { chunk.meta, {} };
    }
    std::string& data = m_incoming->data;
    if (chunk.offset == data.size() && chunk.data.size() <= chunk.meta.size - data.size()) {
        data += chunk.data;
    }
    if (data.size() < chunk.meta.size) {
        return false;
    }
    installIncoming();
    return true;
}

void Raft::Core::installIncoming()
{
    m_log.reset(m_incoming->meta);
    m_snapshot = m_incoming->meta;
    m_commit = m_applied = m_snapshot.index;
    m_snapshotToInstall = SnapshotToInstall { m_snapshot, std::move(m_incoming->data) };
    m_incoming.reset();
}

} // namespace crocuscove::consensus
