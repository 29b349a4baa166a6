#include "crocuscove/consensus/cluster_test.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <functional>

namespace crocuscove::consensus {

namespace {

std::uint64_t extended(std::uint64_t digest, const Entry& entry)
{
    const std::string text
        = fmt::format("{} {} {} {} {}", digest, entry.index, entry.term, static_cast<int>(entry.kind), entry.data);
    return std::hash<std::string> {}(text);
}

} // namespace

void Cluster::fail(const std::string& violation)
{
    if (m_violation.empty()) {
        m_violation = fmt::format("seed {}, step {}: {}", m_options.seed, m_steps, violation);
    }
}

std::optional<base::NodeId> Cluster::leader() const
{
    std::optional<base::NodeId> leader;
    Term term = 0;
    for (const auto& [id, node] : m_nodes) {
        if (node.raft && node.raft->role() == Role::Leader && node.raft->term() > term) {
            leader = id;
            term = node.raft->term();
        }
    }
    return leader;
}

/// All replicas apply the same entry at an index.
void Cluster::apply(TestNode& node, const Entry& entry)
{
    if (entry.index != node.state.index + 1) {
        fail(fmt::format("entry {} was applied after entry {}", entry.index, node.state.index));
        return;
    }
    node.state = { entry.index, extended(node.state.digest, entry) };
    const auto [known, isNew] = m_committed.try_emplace(entry.index, Applied { entry, node.state.digest });
    if (known->second.entry != entry || known->second.digest != node.state.digest) {
        fail(fmt::format("two different entries were committed at index {}", entry.index));
    }
    m_committedChanges += isNew && entry.kind == EntryKind::Membership ? 1 : 0;
}

void Cluster::install(TestNode& node, const SnapshotToInstall& snapshot)
{
    ++m_installedSnapshots;
    TestState state;
    if (std::sscanf(snapshot.data.c_str(), "%lu %lu", &state.index, &state.digest) != 2
        || snapshot.data.size() != snapshot.meta.size || state.index != snapshot.meta.index) {
        fail(fmt::format("the snapshot at {} arrived damaged", snapshot.meta.index));
        return;
    }
    const auto known = m_committed.find(state.index);
    if (known == m_committed.end() || known->second.digest != state.digest) {
        fail(fmt::format("the snapshot at {} differs from what was committed", state.index));
    }
    node.state = state;
}

/// At most one leader in a term, and it holds every committed entry.
void Cluster::checkRole(const base::NodeId& id, const RoleChange& change)
{
    if (change.role != Role::Leader) {
        return;
    }
    const auto [known, isNew] = m_leaders.try_emplace(change.term, id);
    if (known->second != id) {
        fail(fmt::format("{} and {} both led term {}", known->second.text(), id.text(), change.term));
    } else if (isNew) {
        checkLeaderHasCommitted(id);
        checkNoLeaseRuns(id, change.term);
    }
}

void Cluster::checkNoLeaseRuns(const base::NodeId& id, Term term)
{
    const RaftOptions defaults;
    for (const auto& [other, node] : m_nodes) {
        if (other == id || !node.raft || node.raft->term() >= term) {
            continue;
        }
        const auto confirmed = node.raft->leadershipConfirmedAt();
        if (confirmed && m_now - *confirmed < defaults.electionTimeoutMin) {
            fail(fmt::format("{} leads term {} while {} has its leadership confirmed", id.text(), term, other.text()));
        }
    }
}

void Cluster::checkLeaderHasCommitted(const base::NodeId& id)
{
    const TestNode& node = m_nodes.at(id);
    TestDisk disk = node.disk;
    for (const auto* writes : { &node.writing, &node.queued }) {
        std::ranges::for_each(*writes, [&disk](const PendingWrite& write) { disk.write(write); });
    }
    for (const auto& [index, applied] : m_committed) {
        const Entry* const entry = disk.find(index);
        if (index > disk.snapshot.index && (entry == nullptr || *entry != applied.entry)) {
            fail(fmt::format("leader {} lacks the committed entry {}", id.text(), index));
            return;
        }
    }
}

/// A confirmed read sees everything that was committed when it began.
void Cluster::checkRead(const base::NodeId& id, const ReadResult& result)
{
    const auto read = m_reads.find({ id, result.context });
    if (read == m_reads.end()) {
        fail(fmt::format("{} finished the unknown read {}", id.text(), result.context));
        return;
    }
    if (result.confirmed && result.index < read->second) {
        fail(fmt::format("a read on {} was confirmed at {} but {} was committed before it began", id.text(),
            result.index, read->second));
    }
    m_confirmedReads += result.confirmed ? 1 : 0;
    m_reads.erase(read);
}

/// Log matching: two logs that agree on the term at an index agree on everything before it.
void Cluster::checkLogs()
{
    for (auto first = m_nodes.begin(); first != m_nodes.end(); ++first) {
        for (auto second = std::next(first); second != m_nodes.end(); ++second) {
            const TestDisk& a = first->second.disk;
            const TestDisk& b = second->second.disk;
            bool matches = false;
            const Index lowest = std::max(a.snapshot.index, b.snapshot.index);
            for (Index index = std::min(a.lastIndex(), b.lastIndex()); index > lowest; --index) {
                matches = matches || a.find(index)->term == b.find(index)->term;
                if (matches && *a.find(index) != *b.find(index)) {
                    fail(fmt::format("the logs of {} and {} match after index {} but differ there", first->first.text(),
                        second->first.text(), index));
                    return;
                }
            }
        }
    }
}

std::string Cluster::describe() const
{
    std::string text;
    for (const auto& [id, node] : m_nodes) {
        text += fmt::format("\n{}{}: applied {}, stored {}", id.text(), node.isLost ? " (lost)" : "", node.state.index,
            node.disk.lastIndex());
        if (node.raft) {
            text += fmt::format(", {} in term {}, leader '{}', last {}, voters", roleName(node.raft->role()),
                node.raft->term(), node.raft->leader().text(), node.raft->lastIndex());
            std::ranges::for_each(
                node.raft->membership().voters, [&text](const base::NodeId& voter) { text += " " + voter.text(); });
        }
    }
    return text;
}

Membership Cluster::committedMembership() const
{
    const auto last = std::find_if(m_committed.rbegin(), m_committed.rend(),
        [](const auto& item) { return item.second.entry.kind == EntryKind::Membership; });
    return last == m_committed.rend() ? Membership {} : decodeMembership(last->second.entry.data);
}

bool Cluster::isMembershipChanging() const
{
    return std::ranges::any_of(m_nodes, [this](const auto& item) {
        return std::ranges::any_of(item.second.disk.entries, [this](const Entry& entry) {
            return entry.kind == EntryKind::Membership && !m_committed.contains(entry.index);
        });
    });
}

bool Cluster::hasConverged() const
{
    const std::optional<base::NodeId> id = leader();
    if (!id) {
        return false;
    }
    const TestNode& leading = m_nodes.at(*id);
    const Membership& membership = leading.raft->membership();
    if (leading.state.index < committedIndex() || leading.state.index < leading.raft->lastIndex()) {
        return false;
    }
    return std::ranges::all_of(m_nodes, [&](const auto& item) {
        const bool isMember = membership.isVoter(item.first) || membership.isLearner(item.first);
        const TestNode& node = item.second;
        return !isMember || node.isLost
            || (node.state.index == leading.state.index && node.state.digest == leading.state.digest);
    });
}

} // namespace crocuscove::consensus
