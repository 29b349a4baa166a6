#include "crocuscove/state/state.h"

namespace crocuscove::state {

namespace {

bool isPlannedStop(VmReason reason) { return reason == VmReason::Maintenance || reason == VmReason::Move; }

void beginOperation(VmRecord& record, std::uint64_t index, const SetVmPhase& command)
{
    record.operation = index;
    record.bootsAtDrain = command.boots;
}

void endOperation(VmRecord& record, VmReason reason, base::WallTime now)
{
    if (reason == VmReason::Maintenance) {
        record.lastMaintained = now;
    }
    record.moveTarget.reset();
    record.reason = VmReason::None;
    record.operation = 0;
}

} // namespace

CommandResult State::run(std::uint64_t, const RegisterVm& command)
{
    const auto known = m_vms.find(command.vm);
    if (known == m_vms.end() && m_vms.size() >= maxVms) {
        return { ResultCode::LimitReached, 0, "too many VMs", {} };
    }
    if (known == m_vms.end()) {
        VmRecord record;
        record.vm = command.vm;
        record.pool = command.pool;
        record.phaseSince = m_now;
        record.lastMaintained = command.lastMaintained.value_or(m_now);
        m_vms.emplace(command.vm, std::move(record));
    }
    VmRecord& record = m_vms[command.vm];
    record.dataCentre = command.dataCentre;
    record.rack = command.rack;
    record.capacity = command.capacity;
    return {};
}

CommandResult State::run(std::uint64_t index, const MoveVm& command)
{
    const auto entry = m_vms.find(command.vm);
    if (entry == m_vms.end()) {
        return { ResultCode::NotFound, 0, "unknown VM", {} };
    }
    VmRecord& record = entry->second;
    if (record.phase != VmPhase::Serving || record.pool != command.from || command.to.empty()) {
        return { ResultCode::Refused, 0, "the VM is not serving in the pool it is to leave", {} };
    }
    record.phase = VmPhase::Draining;
    record.reason = VmReason::Move;
    record.moveTarget = command.to;
    record.bootsAtDrain = command.boots;
    record.operation = index;
    record.phaseSince = m_now;
    return { ResultCode::Ok, index, "", {} };
}

CommandResult State::run(std::uint64_t index, const SetVmPhase& command)
{
    const auto entry = m_vms.find(command.vm);
    if (entry == m_vms.end()) {
        return { ResultCode::NotFound, 0, "unknown VM", {} };
    }
    VmRecord& record = entry->second;
    if (record.phase != command.expected || record.operation != command.operation) {
        return { ResultCode::Refused, 0, "the VM is in another phase or operation", {} };
    }
    record.phase = command.phase;
    record.phaseSince = m_now;
    record.reason = command.reason;
    if (command.phase == VmPhase::Serving) {
        endOperation(record, command.reason, m_now);
    } else if (!isPlannedStop(command.reason)) {
        record.moveTarget.reset();
    } else if (record.operation == 0) {
        beginOperation(record, index, command);
    }
    // The one committed entry that ends the drain of a move also changes the pool.
    if (record.moveTarget && command.phase == VmPhase::Rebooting) {
        record.pool = *record.moveTarget;
        record.moveTarget.reset();
    }
    return { ResultCode::Ok, record.operation, "", {} };
}

CommandResult State::run(std::uint64_t, const AssignVm& command)
{
    const auto entry = m_vms.find(command.vm);
    if (entry == m_vms.end()) {
        return { ResultCode::NotFound, 0, "unknown VM", {} };
    }
    VmRecord& record = entry->second;
    if (record.phase != VmPhase::Serving || record.pool != command.from || command.to.empty()
        || documentPools().contains(command.from)) {
        return { ResultCode::Refused, 0, "the VM is not serving in a pool that belongs to no document", {} };
    }
    record.pool = command.to;
    return {};
}

CommandResult State::run(std::uint64_t, const RemoveVm& command)
{
    return m_vms.erase(command.vm) == 1 ? CommandResult {}
                                        : CommandResult { ResultCode::NotFound, 0, "unknown VM", {} };
}

} // namespace crocuscove::state
