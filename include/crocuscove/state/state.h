#pragma once

#include "crocuscove/state/command.h"
#include "crocuscove/state/records.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace crocuscove::state {

inline constexpr std::size_t maxDocuments = 10'000;
inline constexpr std::size_t maxRevisionsPerDocument = 1'000;
inline constexpr std::size_t maxRememberedRequests = 100'000;
inline constexpr std::size_t maxVms = 200'000;
inline constexpr std::size_t maxJobs = 1'000'000;
inline constexpr std::size_t maxClaims = 1'000'000;
inline constexpr std::size_t maxStoredAnswerBytes = 64 * 1024;
inline constexpr std::size_t maxIdempotencyKeyBytes = 128;
inline constexpr std::chrono::hours claimRetention { 24 };
inline constexpr std::chrono::hours finishedJobRetention { 24 };

/// The replicated state machine. Equal sequences of entries give equal states on every node.
class State {
public:
    /// Applies the command of the committed entry at `index`. Indexes rise; one that is not above the last is ignored.
    CommandResult apply(std::uint64_t index, const Command& command);

    [[nodiscard]] std::uint64_t appliedIndex() const { return m_appliedIndex; }
    [[nodiscard]] base::WallTime now() const { return m_now; }
    [[nodiscard]] const std::map<base::ServiceId, DocumentRecord>& documents() const { return m_documents; }
    [[nodiscard]] const std::map<base::VmId, VmRecord>& vms() const { return m_vms; }
    [[nodiscard]] const std::map<base::JobId, JobRecord>& jobs() const { return m_jobs; }
    [[nodiscard]] const std::map<ClaimKey, ClaimRecord>& claims() const { return m_claims; }

    [[nodiscard]] const EntryNodes& entryNodes() const { return m_entryNodes; }

    /// Returns the document in force, or nothing.
    [[nodiscard]] const document::ServiceDocument* serviceDocument(const base::ServiceId& service) const;
    [[nodiscard]] const document::FleetDocument* fleetDocument() const;

    /// Returns the pools of the service documents in force, and the spare pool.
    [[nodiscard]] std::set<base::PoolId> documentPools() const;

    /// Encodes the whole state. Equal states give equal bytes.
    [[nodiscard]] std::string encodeSnapshot() const;

    /// Replaces the state by an encoded one. Throws base::Error on malformed bytes and then leaves the state unchanged.
    void restoreSnapshot(std::string_view bytes);

    /// Hash of the encoded state, for comparing replicas.
    [[nodiscard]] std::uint64_t digest() const;

private:
    struct RememberedRequest {
        std::string requestId;
        CommandResult result;
    };

    CommandResult run(std::uint64_t index, const PutDocument& command);
    CommandResult run(std::uint64_t index, const RegisterVm& command);
    CommandResult run(std::uint64_t index, const MoveVm& command);
    CommandResult run(std::uint64_t index, const SetVmPhase& command);
    CommandResult run(std::uint64_t index, const RemoveVm& command);
    CommandResult run(std::uint64_t index, const SubmitJob& command);
    CommandResult run(std::uint64_t index, const StartJob& command);
    CommandResult run(std::uint64_t index, const FinishJob& command);
    CommandResult run(std::uint64_t index, const CancelJob& command);
    CommandResult run(std::uint64_t index, const ExpireLease& command);
    CommandResult run(std::uint64_t index, const RejectJob& command);
    CommandResult run(std::uint64_t index, const ClaimIdempotencyKey& command);
    CommandResult run(std::uint64_t index, const SettleIdempotencyKey& command);
    CommandResult run(std::uint64_t index, const AdvanceTime& command);
    CommandResult run(std::uint64_t index, const SetEntryNodes& command);
    CommandResult run(std::uint64_t index, const AssignVm& command);
    CommandResult run(std::uint64_t index, const SetEntryProcesses& command);

    CommandResult storeRevision(std::uint64_t index, const PutDocument& command, document::Document document);
    void rememberRequest(const std::string& requestId, const CommandResult& result);
    void requeueOrLose(JobRecord& job, std::string reason);
    void dropExpiredClaims();
    void dropFinishedJobs();

    std::uint64_t m_appliedIndex = 0;
    base::WallTime m_now;
    std::map<base::ServiceId, DocumentRecord> m_documents;
    std::map<base::VmId, VmRecord> m_vms;
    std::map<base::JobId, JobRecord> m_jobs;
    std::map<ClaimKey, ClaimRecord> m_claims;
    EntryNodes m_entryNodes;
    std::map<std::string, CommandResult> m_requestResults;
    std::deque<std::string> m_requestOrder;
};

} // namespace crocuscove::state
