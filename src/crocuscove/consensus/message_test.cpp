#include "crocuscove/consensus/message.h"

#include "crocuscove/base/error.h"
#include "crocuscove/consensus/raft.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace crocuscove::consensus {
namespace {

using base::NodeId;

std::uint64_t anyNumber() { return *rc::gen::inRange<std::uint64_t>(0, 50); }

NodeId anyNode() { return NodeId("n" + std::to_string(*rc::gen::inRange(1, 5))); }

Membership anyMembership()
{
    Membership membership;
    for (const char* const id : { "n1", "n2", "n3", "n4", "n5" }) {
        const int kind = *rc::gen::inRange(0, 3);
        if (kind == 1) {
            membership.voters.emplace_back(id);
        } else if (kind == 2) {
            membership.learners.emplace_back(id);
        }
    }
    return membership;
}

AppendRequest anyAppend()
{
    AppendRequest request { anyNumber(), anyNumber(), anyNumber(), anyNumber(), {} };
    const auto count = *rc::gen::inRange<std::size_t>(0, 5);
    Term term = request.previousTerm;
    for (std::size_t i = 0; i < count; ++i) {
        term += *rc::gen::inRange<Term>(0, 2);
        const auto kind = *rc::gen::element(EntryKind::Normal, EntryKind::Membership, EntryKind::NoOp);
        request.entries.push_back({ request.previousIndex + 1 + i, term, kind,
            kind == EntryKind::Membership ? encodeMembership(anyMembership()) : *rc::gen::arbitrary<std::string>() });
    }
    return request;
}

MessageBody anyBody()
{
    const auto flag = [] { return *rc::gen::arbitrary<bool>(); };
    switch (*rc::gen::inRange<std::size_t>(0, std::variant_size_v<MessageBody>)) {
    case 0:
        return VoteRequest { flag(), anyNumber(), anyNumber(), anyNumber() };
    case 1:
        return VoteAnswer { flag(), anyNumber(), flag() };
    case 2:
        return anyAppend();
    case 3:
        return AppendAnswer { flag(), anyNumber(), anyNumber(), anyNumber() };
    case 4:
        return SnapshotChunk { { anyNumber(), anyNumber(), anyMembership(), anyNumber(), anyNumber() }, anyNumber(),
            anyNumber(), anyNumber(), *rc::gen::arbitrary<std::string>() };
    case 5:
        return SnapshotAnswer { anyNumber(), anyNumber(), anyNumber(), anyNumber(), flag() };
    case 6:
        return ReadRequest { anyNumber() };
    default:
        return ReadAnswer { anyNumber(), flag(), anyNumber() };
    }
}

Message anyMessage() { return { anyNode(), anyNode(), anyNumber(), anyBody() }; }

// Guards against fields that are lost or exchanged on the way.
RC_GTEST_PROP(ConsensusMessage, SurvivesEncoding, ())
{
    const Message message = anyMessage();
    RC_ASSERT(decodeMessage(encodeMessage(message)) == message);
}

// Guards against crashes and unbounded work by damaged or hostile bytes: they give an error or a valid message.
RC_GTEST_PROP(ConsensusMessage, MutatedBytesGiveAnErrorOrAMessage, ())
{
    std::string bytes = encodeMessage(anyMessage());
    const auto mutations = *rc::gen::inRange(1, 3);
    for (int i = 0; i < mutations && !bytes.empty(); ++i) {
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        if (*rc::gen::inRange(0, 4) == 0) {
            bytes.resize(position);
        } else {
            bytes[position] = *rc::gen::arbitrary<char>();
        }
    }
    try {
        const Message message = decodeMessage(bytes);
        RC_ASSERT(decodeMessage(encodeMessage(message)) == message);
    } catch (const base::Error&) {
        RC_TAG("refused");
    }
}

RC_GTEST_PROP(ConsensusMessage, RandomBytesGiveAnErrorOrAMessage, ())
{
    const auto bytes = *rc::gen::arbitrary<std::string>();
    try {
        decodeMessage(bytes);
    } catch (const base::Error&) {
        RC_TAG("refused");
    }
}

// Guards against input that fits the codec but breaks a bound or the order of entries.
TEST(ConsensusMessage, RefusesWhatIsOutOfBounds)
{
    const NodeId a("a");
    const NodeId b("b");
    const auto refused = [&](MessageBody body) {
        EXPECT_THROW(decodeMessage(encodeMessage({ a, b, 1, std::move(body) })), base::Error);
    };
    refused(AppendRequest { maxIndex + 1, 0, 0, 0, {} });
    refused(AppendRequest { 0, 0, 0, 0, { { 1, 5, EntryKind::Normal, {} }, { 2, 4, EntryKind::Normal, {} } } });
    refused(AppendRequest { 0, 0, 0, 0, { { 1, 1, EntryKind::Normal, std::string(maxEntryBytes + 1, 'x') } } });
    refused(AppendRequest { 0, 0, 0, 0, { { 1, 1, EntryKind::Membership, "not a membership" } } });
    refused(AppendRequest { 0, 0, 0, 0, std::vector<Entry>(maxMessageEntries + 1) });
    refused(SnapshotChunk { { 1, 1, { { b, a }, {} }, 0, 0 }, 0, 0, 0, {} });
    refused(SnapshotChunk { { 1, 1, { { a }, { a } }, 0, 0 }, 0, 0, 0, {} });
    EXPECT_THROW(decodeMessage(encodeMessage({ a, {}, 1, ReadRequest {} })), base::Error);
    EXPECT_THROW(decodeMessage(encodeMessage({ a, b, 1, ReadRequest {} }) + "x"), base::Error);
    EXPECT_THROW(decodeMessage(std::string(maxMessageBytes + 1, '\0')), base::Error);
}

// Guards against a well-formed but inconsistent message that corrupts the state of the Raft core.
RC_GTEST_PROP(ConsensusMessage, AnySequenceOfMessagesIsHandled, ())
{
    base::MonotonicTime now { base::Milliseconds(1) };
    const Membership membership { { NodeId("n1"), NodeId("n2"), NodeId("n3") }, {} };
    Raft raft({ .self = NodeId("n1") }, bootstrap(membership), base::Random(1), now);
    const auto count = *rc::gen::inRange(1, 40);
    try {
        for (int i = 0; i < count; ++i) {
            now += base::Milliseconds(*rc::gen::inRange(0, 400));
            raft.tick(now);
            Message message = anyMessage();
            message.to = NodeId("n1");
            message.term = std::min<Term>(message.term, *rc::gen::inRange<Term>(0, 50));
            raft.step(now, message);
            for (Ready ready = raft.takeReady(); !ready.empty(); ready = raft.takeReady()) {
                raft.persisted(raft.lastIndex());
            }
            RC_ASSERT(raft.commitIndex() <= raft.lastIndex());
        }
    } catch (const base::Error&) {
        RC_TAG("a committed entry was contradicted");
    }
}

} // namespace
} // namespace crocuscove::consensus
