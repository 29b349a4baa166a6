#pragma once

#include "crocuscove/state/records.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocuscove::state {

/// Stores a new revision of a document. `expectedRevision` is the one that the writer has seen; 0 creates.
struct PutDocument {
    std::string requestId;
    base::ServiceId service;
    std::uint64_t expectedRevision = 0;
    std::string text;
};

/// Adds a VM, or updates its location and capacity. The pool of a known VM stays.
struct RegisterVm {
    base::VmId vm;
    base::DataCentreId dataCentre;
    base::RackId rack;
    Resources capacity;
    base::PoolId pool;
    /// When a VM that is new here was last maintained, if the platform knows it. Otherwise it counts as maintained now.
    std::optional<base::WallTime> lastMaintained;
};

/// Starts the move of a serving VM to another pool. Refused unless the VM is serving in `from`.
struct MoveVm {
    base::VmId vm;
    base::PoolId from;
    base::PoolId to;
    std::uint64_t boots = 0;
};

/// Changes the phase of a VM. Refused unless the VM is in phase `expected` of operation `operation`.
struct SetVmPhase {
    base::VmId vm;
    VmPhase expected = VmPhase::Serving;
    VmPhase phase = VmPhase::Serving;
    VmReason reason = VmReason::None;
    std::uint64_t operation = 0;
    std::uint64_t boots = 0;
};

/// Removes the record of a VM that the platform no longer has.
struct RemoveVm {
    base::VmId vm;
};

/// Queues a job. The job id makes a resend idempotent.
struct SubmitJob {
    JobSpec spec;
};

/// Starts a queued job on a worker. The index of the entry becomes the fencing token.
struct StartJob {
    base::JobId job;
    base::WorkerId worker;
    std::uint64_t workerIncarnation = 0;
};

/// Ends the run of a job that holds `token`. Queued means that the job runs again from its checkpoint.
struct FinishJob {
    base::JobId job;
    std::uint64_t token = 0;
    JobState outcome = JobState::Done;
    bool hasCheckpoint = false;
    std::string reason;
};

struct CancelJob {
    base::JobId job;
};

/// Ends the run of a job whose worker's lease expired. An idempotent job is queued again, another one is lost.
struct ExpireLease {
    base::JobId job;
    std::uint64_t token = 0;
};

/// Marks a queued job as one that no worker can run.
struct RejectJob {
    base::JobId job;
    std::string reason;
};

/// Claims an idempotency key before the request is dispatched.
struct ClaimIdempotencyKey {
    base::ServiceId service;
    std::string key;
    std::uint64_t bodyDigest = 0;
    base::NodeId node;
    std::string requestId;
    base::WallTime deadline;
};

/// Ends a claim. `isExecuted` false releases the key, since the request certainly did not run.
struct SettleIdempotencyKey {
    base::ServiceId service;
    std::string key;
    std::string requestId;
    bool isExecuted = true;
    bool isUnknown = false;
    StoredAnswer answer;
};

/// Replaces the entry nodes. Refused unless `expected` is the number in force. `shareNodes` counts in the first one.
struct SetEntryNodes {
    std::uint64_t expected = 0;
    std::vector<base::NodeId> nodes;
    std::uint32_t shareNodes = 0;
};

/// Replaces the entry nodes like SetEntryNodes, each given with the incarnation of its process.
struct SetEntryProcesses {
    std::uint64_t expected = 0;
    std::map<base::NodeId, std::uint64_t> processes;
    std::uint32_t shareNodes = 0;
};

/// Moves the replicated clock forward. Drops what has expired.
struct AdvanceTime {
    base::WallTime now;
};

/// Assigns a VM to the pool of what runs on it, without a stop. Refused unless the VM is serving in `from`, and `from`
/// is the pool of no document.
struct AssignVm {
    base::VmId vm;
    base::PoolId from;
    base::PoolId to;
};

using Command = std::variant<PutDocument, RegisterVm, MoveVm, SetVmPhase, RemoveVm, SubmitJob, StartJob, FinishJob,
    CancelJob, ExpireLease, RejectJob, ClaimIdempotencyKey, SettleIdempotencyKey, AdvanceTime, SetEntryNodes, AssignVm,
    SetEntryProcesses>;

enum class ResultCode {
    Ok,
    /// The command was applied before; the result repeats the first one.
    Repeated,
    Conflict,
    NotFound,
    InvalidDocument,
    /// The preconditions of the command do not hold.
    Refused,
    LimitReached,
    /// The idempotency key is claimed and not yet settled.
    InProgress,
    BodyMismatch,
    OutcomeUnknown,
    StoredAnswerFound,
};

std::string_view resultCodeName(ResultCode code);

struct CommandResult {
    ResultCode code = ResultCode::Ok;
    /// Revision of the document in force, or the fencing token of a started job.
    std::uint64_t number = 0;
    std::string detail;
    StoredAnswer answer;
};

/// Encodes a command as bytes of a log entry.
std::string encodeCommand(const Command& command);

/// Decodes the bytes of a log entry. Throws base::Error on malformed bytes.
Command decodeCommand(std::string_view bytes);

} // namespace crocuscove::state
