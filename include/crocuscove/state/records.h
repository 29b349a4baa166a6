#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/base/time.h"
#include "crocuscove/document/parse.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::state {

/// Where a VM stands in its life within a pool.
enum class VmPhase {
    Serving,
    Draining,
    Rebooting,
    Returning,
    Lost,
};

/// Why a VM is not serving, or why it changed its phase.
enum class VmReason {
    None,
    Maintenance,
    Move,
    Failure,
    Returned,
};

enum class JobState {
    Queued,
    Running,
    Done,
    Failed,
    Cancelled,
    /// The worker was lost while it ran a non-idempotent job; whether it finished is unknown.
    Lost,
    Unplaceable,
};

enum class ClaimState {
    InProgress,
    Settled,
    Unknown,
};

std::string_view vmPhaseName(VmPhase phase);
std::string_view vmReasonName(VmReason reason);
std::string_view jobStateName(JobState state);

/// Processors, memory and accelerators of a VM or a job.
struct Resources {
    std::uint32_t cores = 0;
    std::uint64_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const Resources&) const = default;
};

struct DocumentRevision {
    std::uint64_t revision = 0;
    std::string text;
    base::WallTime appliedAt;
    std::string requestId;
    /// Log index of the entry. The revision is in force on a node that has applied it.
    std::uint64_t index = 0;
};

/// The revisions of one document, oldest first. The last one is in force.
struct DocumentRecord {
    std::vector<DocumentRevision> revisions;
    /// The parsed text of the last revision.
    std::shared_ptr<const document::Document> inForce;

    [[nodiscard]] std::uint64_t revision() const { return revisions.empty() ? 0 : revisions.back().revision; }
};

/// A VM has exactly one record, and so belongs to exactly one pool.
struct VmRecord {
    base::VmId vm;
    base::DataCentreId dataCentre;
    base::RackId rack;
    Resources capacity;
    base::PoolId pool;
    VmPhase phase = VmPhase::Serving;
    VmReason reason = VmReason::None;
    /// Pool that the VM joins when the running move completes.
    std::optional<base::PoolId> moveTarget;
    base::WallTime phaseSince;
    base::WallTime lastMaintained;
    /// Boot counter that the platform reported when the VM began to drain. A larger one shows that it rebooted.
    std::uint64_t bootsAtDrain = 0;
    /// Log index of the entry that began the running operation; names the operation towards the platform.
    std::uint64_t operation = 0;
};

struct JobSpec {
    base::JobId job;
    base::TeamId team;
    Resources declared;
    bool isIdempotent = true;
    bool isUrgent = false;
    std::uint64_t expectedSeconds = 0;
};

struct JobRecord {
    JobSpec spec;
    JobState state = JobState::Queued;
    std::string reason;
    base::WorkerId worker;
    /// Start of the worker process that was given the job. A later one has forgotten it.
    std::uint64_t workerIncarnation = 0;
    /// Fencing token: log index of the entry that started the job. 0 before the first start.
    std::uint64_t token = 0;
    std::uint32_t starts = 0;
    bool hasCheckpoint = false;
    bool isCancelRequested = false;
    base::WallTime submittedAt;
    base::WallTime changedAt;
};

/// Answer of a backend server that is stored for resends of the same idempotency key.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

struct ClaimRecord {
    std::uint64_t bodyDigest = 0;
    base::NodeId node;
    std::string requestId;
    ClaimState state = ClaimState::InProgress;
    StoredAnswer answer;
    /// Moment after which an unsettled claim counts as unknown.
    base::WallTime deadline;
    /// Moment after which the claim may be forgotten.
    base::WallTime retainUntil;
};

/// The entry nodes that lease out the slots of backend servers. `number` rises with every change.
struct EntryNodes {
    std::uint64_t number = 0;
    std::vector<base::NodeId> nodes;
    /// Divisor of the slots that every entry node keeps without a lease. Set once for a cluster.
    std::uint32_t shareNodes = 0;
    /// No other entry nodes were in force before.
    bool isFirst = false;
    /// Restored from a snapshot without entry nodes, so that others may have been in force before.
    bool hasUnknownPast = false;
    /// Every node that was ever an entry node, with the incarnation that its process had when it first became one, or 0
    /// if that is unknown. Holds at most shareNodes incarnations other than 0.
    std::map<base::NodeId, std::uint64_t> firstProcesses;
};

/// A claim is named by its service and the client's Idempotency-Key.
using ClaimKey = std::pair<base::ServiceId, std::string>;

} // namespace crocuscove::state
