#include "crocuscove/state/state.h"

#include <algorithm>

namespace crocuscove::state {

namespace {

CommandResult describeClaim(const ClaimRecord& claim, const ClaimIdempotencyKey& command)
{
    if (claim.requestId == command.requestId) {
        return { ResultCode::Repeated, 0, "this request holds the claim", {} };
    }
    if (claim.bodyDigest != command.bodyDigest) {
        return { ResultCode::BodyMismatch, 0, "the key was used with another body", {} };
    }
    switch (claim.state) {
    case ClaimState::InProgress:
        return { ResultCode::InProgress, 0, "a request with this key is in progress", {} };
    case ClaimState::Settled:
        return { ResultCode::StoredAnswerFound, 0, "", claim.answer };
    case ClaimState::Unknown:
        break;
    }
    return { ResultCode::OutcomeUnknown, 0, "the outcome of the first request with this key is unknown", {} };
}

} // namespace

CommandResult State::run(std::uint64_t, const ClaimIdempotencyKey& command)
{
    const ClaimKey key { command.service, command.key };
    const auto known = m_claims.find(key);
    if (known != m_claims.end()) {
        return describeClaim(known->second, command);
    }
    if (m_claims.size() >= maxClaims) {
        return { ResultCode::LimitReached, 0, "too many idempotency keys", {} };
    }
    ClaimRecord claim;
    claim.bodyDigest = command.bodyDigest;
    claim.node = command.node;
    claim.requestId = command.requestId;
    claim.deadline = command.deadline;
    claim.retainUntil = std::max(m_now, command.deadline) + claimRetention;
    m_claims.emplace(key, std::move(claim));
    return {};
}

CommandResult State::run(std::uint64_t, const SettleIdempotencyKey& command)
{
    const auto entry = m_claims.find({ command.service, command.key });
    if (entry == m_claims.end() || entry->second.requestId != command.requestId) {
        return { ResultCode::NotFound, 0, "this request does not hold the claim", {} };
    }
    ClaimRecord& claim = entry->second;
    if (claim.state == ClaimState::Settled) {
        return { ResultCode::Repeated, 0, "the claim is settled", {} };
    }
    if (!command.isExecuted && !command.isUnknown) {
        m_claims.erase(entry);
        return {};
    }
    claim.state = command.isUnknown ? ClaimState::Unknown : ClaimState::Settled;
    claim.answer = command.answer;
    return {};
}

void State::dropExpiredClaims()
{
    std::ranges::for_each(m_claims, [&](auto& entry) {
        if (entry.second.state == ClaimState::InProgress && entry.second.deadline < m_now) {
            entry.second.state = ClaimState::Unknown;
        }
    });
    std::erase_if(m_claims, [&](const auto& entry) { return entry.second.retainUntil < m_now; });
}

} // namespace crocuscove::state
