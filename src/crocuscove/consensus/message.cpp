#include "crocuscove/consensus/message.h"

#include "crocuscove/consensus/fields.h"

#include <algorithm>
#include <utility>

namespace crocuscove::consensus {

namespace {

constexpr std::size_t variantCount = std::variant_size_v<MessageBody>;

template <typename... Values> void packFields(Packer& packer, const Values&... values)
{
    packer.pack_array(sizeof...(values));
    (packer.pack(values), ...);
}

void pack(Packer& packer, const VoteRequest& body)
{
    packFields(packer, body.preVote, body.electionTerm, body.lastIndex, body.lastTerm);
}

void pack(Packer& packer, const VoteAnswer& body) { packFields(packer, body.preVote, body.electionTerm, body.granted); }

void pack(Packer& packer, const AppendRequest& body)
{
    packer.pack_array(5);
    packer.pack(body.previousIndex).pack(body.previousTerm).pack(body.commit).pack(body.round);
    packer.pack_array(static_cast<std::uint32_t>(body.entries.size()));
    // The index of an entry follows from its position.
    std::ranges::for_each(body.entries, [&packer](const Entry& entry) {
        packFields(packer, entry.term, static_cast<std::uint8_t>(entry.kind), entry.data);
    });
}

void pack(Packer& packer, const AppendAnswer& body)
{
    packFields(packer, body.accepted, body.previousIndex, body.index, body.round);
}

void pack(Packer& packer, const SnapshotChunk& body)
{
    packer.pack_array(9);
    packer.pack(body.meta.index).pack(body.meta.term).pack(body.meta.size).pack(body.meta.checksum);
    packMembership(packer, body.meta.membership);
    packer.pack(body.offset).pack(body.sequence).pack(body.round).pack(body.data);
}

void pack(Packer& packer, const SnapshotAnswer& body)
{
    packFields(packer, body.snapshotIndex, body.nextOffset, body.sequence, body.round, body.installed);
}

void pack(Packer& packer, const ReadRequest& body) { packFields(packer, body.context); }

void pack(Packer& packer, const ReadAnswer& body) { packFields(packer, body.context, body.confirmed, body.index); }

void unpack(const msgpack::object& object, VoteRequest& body)
{
    Fields fields(object, 4);
    body = { fields.boolean(), fields.number(maxIndex), fields.number(maxIndex), fields.number(maxIndex) };
}

void unpack(const msgpack::object& object, VoteAnswer& body)
{
    Fields fields(object, 3);
    body = { fields.boolean(), fields.number(maxIndex), fields.boolean() };
}

Entry unpackEntry(const msgpack::object& object, Index index)
{
    Fields fields(object, 3);
    const Term term = fields.number(maxIndex);
    const auto kind = static_cast<EntryKind>(fields.number(static_cast<std::uint64_t>(EntryKind::NoOp)));
    Entry entry { index, term, kind, fields.text(maxEntryBytes) };
    if (kind == EntryKind::Membership) {
        decodeMembership(entry.data);
    }
    return entry;
}

void unpack(const msgpack::object& object, AppendRequest& body)
{
    Fields fields(object, 5);
    body.previousIndex = fields.number(maxIndex);
    body.previousTerm = fields.number(maxIndex);
    body.commit = fields.number(maxIndex);
    body.round = fields.anyNumber();
    const msgpack::object_array entries = Fields::array(fields.next(), maxMessageEntries);
    body.entries.reserve(entries.size);
    Term term = body.previousTerm;
    for (std::uint32_t i = 0; i < entries.size; ++i) {
        body.entries.push_back(unpackEntry(entries.ptr[i], body.previousIndex + 1 + i));
        if (std::exchange(term, body.entries.back().term) > body.entries.back().term) {
            throw base::Error("the terms of the entries decrease");
        }
    }
}

void unpack(const msgpack::object& object, AppendAnswer& body)
{
    Fields fields(object, 4);
    body = { fields.boolean(), fields.number(maxIndex), fields.number(maxIndex), fields.anyNumber() };
}

void unpack(const msgpack::object& object, SnapshotChunk& body)
{
    Fields fields(object, 9);
    body.meta.index = fields.number(maxIndex);
    body.meta.term = fields.number(maxIndex);
    body.meta.size = fields.number(maxIndex);
    body.meta.checksum = fields.anyNumber();
    body.meta.membership = unpackMembership(fields.next());
    body.offset = fields.number(maxIndex);
    body.sequence = fields.anyNumber();
    body.round = fields.anyNumber();
    body.data = fields.text(maxMessageBytes);
}

void unpack(const msgpack::object& object, SnapshotAnswer& body)
{
    Fields fields(object, 5);
    body = { fields.number(maxIndex), fields.number(maxIndex), fields.anyNumber(), fields.anyNumber(),
        fields.boolean() };
}

void unpack(const msgpack::object& object, ReadRequest& body)
{
    Fields fields(object, 1);
    body.context = fields.anyNumber();
}

void unpack(const msgpack::object& object, ReadAnswer& body)
{
    Fields fields(object, 3);
    body = { fields.anyNumber(), fields.boolean(), fields.number(maxIndex) };
}

template <std::size_t kind = 0> MessageBody unpackBody(const msgpack::object& object, std::size_t wanted)
{
    if constexpr (kind < variantCount) {
        if (kind != wanted) {
            return unpackBody<kind + 1>(object, wanted);
        }
        std::variant_alternative_t<kind, MessageBody> body;
        unpack(object, body);
        return body;
    } else {
        throw base::Error("unknown message kind");
    }
}

Message unpackMessage(const msgpack::object& object)
{
    Fields fields(object, 5);
    const std::size_t kind = fields.number(variantCount - 1);
    Message message;
    message.from = fields.node();
    message.to = fields.node();
    message.term = fields.number(maxIndex);
    message.body = unpackBody(fields.next(), kind);
    if (message.from.empty() || message.to.empty()) {
        throw base::Error("the sender or receiver id is empty");
    }
    return message;
}

} // namespace

std::string encodeMessage(const Message& message)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(5);
    packer.pack(message.body.index()).pack(message.from.text()).pack(message.to.text()).pack(message.term);
    std::visit([&packer](const auto& body) { pack(packer, body); }, message.body);
    return { buffer.data(), buffer.size() };
}

Message decodeMessage(std::string_view bytes)
{
    try {
        if (bytes.size() > maxMessageBytes) {
            throw base::Error("the message exceeds the size limit");
        }
        const msgpack::object_handle handle = unpackWhole(bytes);
        return unpackMessage(handle.get());
    } catch (const base::Error& error) {
        throw base::Error(std::string("malformed consensus message: ") + error.what());
    }
}

} // namespace crocuscove::consensus
