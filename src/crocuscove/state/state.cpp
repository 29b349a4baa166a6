#include "crocuscove/state/state.h"

#include <algorithm>

namespace crocuscove::state {

namespace {

CommandResult refuse(ResultCode code, std::string detail, std::uint64_t number = 0)
{
    return { code, number, std::move(detail), {} };
}

template <typename Record, typename Map, typename Key> Record* findRecord(Map& map, const Key& key)
{
    const auto entry = map.find(key);
    return entry == map.end() ? nullptr : &entry->second;
}

} // namespace

CommandResult State::apply(std::uint64_t index, const Command& command)
{
    if (index <= m_appliedIndex) {
        return refuse(ResultCode::Repeated, "entry was applied before");
    }
    m_appliedIndex = index;
    return std::visit([&](const auto& alternative) { return run(index, alternative); }, command);
}

const document::ServiceDocument* State::serviceDocument(const base::ServiceId& service) const
{
    const auto* record = findRecord<const DocumentRecord>(m_documents, service);
    return record == nullptr ? nullptr : std::get_if<document::ServiceDocument>(record->inForce.get());
}

const document::FleetDocument* State::fleetDocument() const
{
    static const base::ServiceId fleetId("fleet");
    const auto* record = findRecord<const DocumentRecord>(m_documents, fleetId);
    return record == nullptr ? nullptr : std::get_if<document::FleetDocument>(record->inForce.get());
}

std::set<base::PoolId> State::documentPools() const
{
    std::set<base::PoolId> pools;
    for (const auto& [service, record] : m_documents) {
        if (const auto* document = serviceDocument(service)) {
            pools.insert(document->pool.name);
        }
    }
    if (const auto* fleet = fleetDocument()) {
        pools.insert(fleet->sparePool);
    }
    return pools;
}

CommandResult State::run(std::uint64_t index, const PutDocument& command)
{
    if (const auto* first = findRecord<const CommandResult>(m_requestResults, command.requestId)) {
        return *first;
    }
    auto parsed = document::parseDocument(command.text, command.service.text());
    if (!parsed.document) {
        return refuse(ResultCode::InvalidDocument, document::describe(parsed.problems.front()));
    }
    if (document::documentId(*parsed.document) != command.service) {
        return refuse(ResultCode::InvalidDocument, "the document names another service");
    }
    CommandResult result = storeRevision(index, command, std::move(*parsed.document));
    rememberRequest(command.requestId, result);
    return result;
}

CommandResult State::storeRevision(std::uint64_t index, const PutDocument& command, document::Document document)
{
    const auto* existing = findRecord<const DocumentRecord>(m_documents, command.service);
    const std::uint64_t revisionInForce = existing == nullptr ? 0 : existing->revision();
    if (revisionInForce != command.expectedRevision) {
        return refuse(ResultCode::Conflict, "another revision is in force", revisionInForce);
    }
    if (existing == nullptr && m_documents.size() >= maxDocuments) {
        return refuse(ResultCode::LimitReached, "too many documents");
    }
    DocumentRecord& record = m_documents[command.service];
    record.revisions.push_back({ revisionInForce + 1, command.text, m_now, command.requestId, index });
    if (record.revisions.size() > maxRevisionsPerDocument) {
        record.revisions.erase(record.revisions.begin());
    }
    record.inForce = std::make_shared<const document::Document>(std::move(document));
    return { ResultCode::Ok, revisionInForce + 1, "", {} };
}

void State::rememberRequest(const std::string& requestId, const CommandResult& result)
{
    m_requestResults.emplace(requestId, result);
    m_requestOrder.push_back(requestId);
    if (m_requestOrder.size() > maxRememberedRequests) {
        m_requestResults.erase(m_requestOrder.front());
        m_requestOrder.pop_front();
    }
}

CommandResult State::run(std::uint64_t index, const SetEntryNodes& command)
{
    SetEntryProcesses same { command.expected, {}, command.shareNodes };
    std::ranges::for_each(command.nodes, [&](const base::NodeId& node) { same.processes.emplace(node, 0); });
    return run(index, same);
}

CommandResult State::run(std::uint64_t index, const SetEntryProcesses& command)
{
    if (command.expected != m_entryNodes.number || command.processes.empty()) {
        return refuse(ResultCode::Refused, "other entry nodes are in force", m_entryNodes.number);
    }
    m_entryNodes.isFirst = m_entryNodes.number == 0 && !m_entryNodes.hasUnknownPast;
    // A node that lags behind would keep a larger share than others reserve for it, if the divisor could change.
    m_entryNodes.shareNodes = m_entryNodes.number == 0 ? command.shareNodes : m_entryNodes.shareNodes;
    m_entryNodes.number = index;
    m_entryNodes.nodes.clear();
    for (const auto& [node, process] : command.processes) {
        m_entryNodes.nodes.push_back(node);
        const bool isKnown
            = !m_entryNodes.hasUnknownPast && m_entryNodes.firstProcesses.size() < m_entryNodes.shareNodes;
        m_entryNodes.firstProcesses.try_emplace(node, isKnown ? process : 0);
    }
    return { ResultCode::Ok, index, "", {} };
}

CommandResult State::run(std::uint64_t, const AdvanceTime& command)
{
    // A new leader's clock may be behind the old one's; replicated time never goes back.
    m_now = std::max(m_now, command.now);
    dropExpiredClaims();
    dropFinishedJobs();
    return {};
}

} // namespace crocuscove::state
