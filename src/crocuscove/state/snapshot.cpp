#include "crocuscove/state/codec.h"
#include "crocuscove/state/state.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace crocuscove::state {

namespace {

constexpr std::uint32_t snapshotVersion = 2;

struct EncodedState {
    // GCC 12 warns of uninitialized members in base::decode() when this is an aggregate.
    EncodedState() = default;

    std::uint32_t version = snapshotVersion;
    std::uint64_t appliedIndex = 0;
    base::WallTime now;
    std::map<base::ServiceId, std::vector<DocumentRevision>> documents;
    std::map<base::VmId, VmRecord> vms;
    std::map<base::JobId, JobRecord> jobs;
    std::map<ClaimKey, ClaimRecord> claims;
    EntryNodes entryNodes;
    std::map<std::string, CommandResult> requestResults;
    std::deque<std::string> requestOrder;
};

CROCUSCOVE_FIELDS(EncodedState, v.version, v.appliedIndex, v.now, v.documents, v.vms, v.jobs, v.claims,
    v.requestResults, v.requestOrder, v.entryNodes)

/// Version 1 lacks the entry nodes.
struct EncodedStateVersion1 {
    EncodedState state;
};

auto codecFields(EncodedStateVersion1& v)
{
    EncodedState& s = v.state;
    return std::tie(
        s.version, s.appliedIndex, s.now, s.documents, s.vms, s.jobs, s.claims, s.requestResults, s.requestOrder);
}

EncodedState decodeState(std::string_view bytes)
{
    // The first byte of a MessagePack array of up to 15 elements holds their number.
    constexpr char firstByteVersion1 = '\x99';
    if (!bytes.starts_with(firstByteVersion1)) {
        return base::decode<EncodedState>(bytes);
    }
    EncodedState encoded = base::decode<EncodedStateVersion1>(bytes).state;
    if (encoded.version == 1) {
        encoded.version = snapshotVersion;
        encoded.entryNodes.hasUnknownPast = true;
    }
    return encoded;
}

DocumentRecord makeDocumentRecord(const base::ServiceId& service, std::vector<DocumentRevision> revisions)
{
    if (revisions.empty()) {
        throw base::Error("snapshot has a document without revisions: " + service.text());
    }
    auto parsed = document::parseDocument(revisions.back().text, service.text());
    if (!parsed.document) {
        throw base::Error("snapshot has a document that does not parse: " + service.text());
    }
    return { std::move(revisions), std::make_shared<const document::Document>(std::move(*parsed.document)) };
}

} // namespace

std::string State::encodeSnapshot() const
{
    EncodedState encoded;
    encoded.appliedIndex = m_appliedIndex;
    encoded.now = m_now;
    std::ranges::for_each(
        m_documents, [&](const auto& entry) { encoded.documents.emplace(entry.first, entry.second.revisions); });
    encoded.vms = m_vms;
    encoded.jobs = m_jobs;
    encoded.claims = m_claims;
    encoded.entryNodes = m_entryNodes;
    encoded.requestResults = m_requestResults;
    encoded.requestOrder = m_requestOrder;
    return base::encode(encoded);
}

void State::restoreSnapshot(std::string_view bytes)
{
    auto encoded = decodeState(bytes);
    if (encoded.version != snapshotVersion) {
        throw base::Error("snapshot has an unsupported version");
    }
    State restored;
    restored.m_appliedIndex = encoded.appliedIndex;
    restored.m_now = encoded.now;
    std::ranges::for_each(encoded.documents, [&](auto& entry) {
        restored.m_documents.emplace(entry.first, makeDocumentRecord(entry.first, std::move(entry.second)));
    });
    restored.m_vms = std::move(encoded.vms);
    restored.m_jobs = std::move(encoded.jobs);
    restored.m_claims = std::move(encoded.claims);
    restored.m_entryNodes = std::move(encoded.entryNodes);
    restored.m_requestResults = std::move(encoded.requestResults);
    restored.m_requestOrder = std::move(encoded.requestOrder);
    *this = std::move(restored);
}

std::uint64_t State::digest() const
{
    const std::string bytes = encodeSnapshot();
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace crocuscove::state
