#include "crocuscove/base/enum_names.h"
#include "crocuscove/state/command.h"
#include "crocuscove/state/records.h"

namespace crocuscove::state {

namespace {

constexpr auto vmPhaseNames = base::enumNames<VmPhase>({
    { VmPhase::Serving, "serving" },
    { VmPhase::Draining, "draining" },
    { VmPhase::Rebooting, "rebooting" },
    { VmPhase::Returning, "returning" },
    { VmPhase::Lost, "lost" },
});

constexpr auto vmReasonNames = base::enumNames<VmReason>({
    { VmReason::None, "none" },
    { VmReason::Maintenance, "maintenance" },
    { VmReason::Move, "move" },
    { VmReason::Failure, "failure" },
    { VmReason::Returned, "returned" },
});

constexpr auto jobStateNames = base::enumNames<JobState>({
    { JobState::Queued, "queued" },
    { JobState::Running, "running" },
    { JobState::Done, "done" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
    { JobState::Lost, "lost" },
    { JobState::Unplaceable, "unplaceable" },
});

constexpr auto resultCodeNames = base::enumNames<ResultCode>({
    { ResultCode::Ok, "ok" },
    { ResultCode::Repeated, "repeated" },
    { ResultCode::Conflict, "conflict" },
    { ResultCode::NotFound, "not-found" },
    { ResultCode::InvalidDocument, "invalid-document" },
    { ResultCode::Refused, "refused" },
    { ResultCode::LimitReached, "limit-reached" },
    { ResultCode::InProgress, "in-progress" },
    { ResultCode::BodyMismatch, "body-mismatch" },
    { ResultCode::OutcomeUnknown, "outcome-unknown" },
    { ResultCode::StoredAnswerFound, "stored-answer" },
});

} // namespace

std::string_view vmPhaseName(VmPhase phase) { return vmPhaseNames.name(phase); }

std::string_view vmReasonName(VmReason reason) { return vmReasonNames.name(reason); }

std::string_view jobStateName(JobState state) { return jobStateNames.name(state); }

std::string_view resultCodeName(ResultCode code) { return resultCodeNames.name(code); }

} // namespace crocuscove::state
