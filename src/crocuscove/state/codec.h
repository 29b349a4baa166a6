#pragma once

#include "crocuscove/base/codec.h"
#include "crocuscove/state/command.h"
#include "crocuscove/state/records.h"

namespace crocuscove::state {

CROCUSCOVE_FIELDS(Resources, v.cores, v.memoryMb, v.accelerators)
CROCUSCOVE_FIELDS(StoredAnswer, v.status, v.contentType, v.body)
CROCUSCOVE_FIELDS(JobSpec, v.job, v.team, v.declared, v.isIdempotent, v.isUrgent, v.expectedSeconds)
CROCUSCOVE_FIELDS(DocumentRevision, v.revision, v.text, v.appliedAt, v.requestId, v.index)
CROCUSCOVE_FIELDS(VmRecord, v.vm, v.dataCentre, v.rack, v.capacity, v.pool, v.phase, v.reason, v.moveTarget,
    v.phaseSince, v.lastMaintained, v.bootsAtDrain, v.operation)
CROCUSCOVE_FIELDS(JobRecord, v.spec, v.state, v.reason, v.worker, v.workerIncarnation, v.token, v.starts,
    v.hasCheckpoint, v.isCancelRequested, v.submittedAt, v.changedAt)
CROCUSCOVE_FIELDS(ClaimRecord, v.bodyDigest, v.node, v.requestId, v.state, v.answer, v.deadline, v.retainUntil)
CROCUSCOVE_FIELDS(EntryNodes, v.number, v.nodes, v.shareNodes, v.isFirst, v.hasUnknownPast, v.firstProcesses)
CROCUSCOVE_FIELDS(CommandResult, v.code, v.number, v.detail, v.answer)

CROCUSCOVE_FIELDS(PutDocument, v.requestId, v.service, v.expectedRevision, v.text)
CROCUSCOVE_FIELDS(RegisterVm, v.vm, v.dataCentre, v.rack, v.capacity, v.pool, v.lastMaintained)
CROCUSCOVE_FIELDS(MoveVm, v.vm, v.from, v.to, v.boots)
CROCUSCOVE_FIELDS(SetVmPhase, v.vm, v.expected, v.phase, v.reason, v.operation, v.boots)
CROCUSCOVE_FIELDS(RemoveVm, v.vm)
CROCUSCOVE_FIELDS(SubmitJob, v.spec)
CROCUSCOVE_FIELDS(StartJob, v.job, v.worker, v.workerIncarnation)
CROCUSCOVE_FIELDS(FinishJob, v.job, v.token, v.outcome, v.hasCheckpoint, v.reason)
CROCUSCOVE_FIELDS(CancelJob, v.job)
CROCUSCOVE_FIELDS(ExpireLease, v.job, v.token)
CROCUSCOVE_FIELDS(RejectJob, v.job, v.reason)
CROCUSCOVE_FIELDS(ClaimIdempotencyKey, v.service, v.key, v.bodyDigest, v.node, v.requestId, v.deadline)
CROCUSCOVE_FIELDS(SettleIdempotencyKey, v.service, v.key, v.requestId, v.isExecuted, v.isUnknown, v.answer)
CROCUSCOVE_FIELDS(AdvanceTime, v.now)
CROCUSCOVE_FIELDS(SetEntryNodes, v.expected, v.nodes, v.shareNodes)
CROCUSCOVE_FIELDS(AssignVm, v.vm, v.from, v.to)
CROCUSCOVE_FIELDS(SetEntryProcesses, v.expected, v.processes, v.shareNodes)

} // namespace crocuscove::state
