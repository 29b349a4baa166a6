#include "crocuscove/storage/record.h"

#include "crocuscove/base/error.h"

#include <xxhash.h>

#include <limits>
#include <utility>

namespace crocuscove::storage {

namespace {

constexpr std::size_t minPayloadBytes = 1 + sizeof(std::uint64_t);
constexpr unsigned bitsInByte = 8;

class Writer {
public:
    explicit Writer(std::string& buffer)
        : m_buffer(buffer)
    {
    }

    template <typename Number> void number(Number value)
    {
        for (std::size_t i = 0; i < sizeof(Number); ++i) {
            m_buffer.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (i * bitsInByte)));
        }
    }

    void text(std::string_view text)
    {
        number(static_cast<std::uint32_t>(text.size()));
        m_buffer += text;
    }

    void write(const SegmentHeader& body)
    {
        number(body.firstIndex);
        number(body.previousTerm);
        write(body.hardState);
    }

    void write(const consensus::Entry& body)
    {
        number(body.index);
        number(body.term);
        number(static_cast<std::uint8_t>(body.kind));
        text(body.data);
    }

    void write(const consensus::HardState& body)
    {
        number(body.term);
        text(body.votedFor.text());
    }

    void write(const LogReset& body)
    {
        number(body.index);
        number(body.term);
    }

    void write(const FormatRecord& body)
    {
        number(body.version);
        number(body.folderId);
    }

    void write(const SnapshotHeader& body)
    {
        number(body.meta.index);
        number(body.meta.term);
        text(consensus::encodeMembership(body.meta.membership));
        number(body.meta.size);
        number(body.meta.checksum);
    }

private:
    std::string& m_buffer;
};

/// Throws base::Error at the end of the bytes and for values out of range.
class Reader {
public:
    explicit Reader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    template <typename Number> Number number()
    {
        const std::string_view bytes = take(sizeof(Number));
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(Number); ++i) {
            value |= std::uint64_t { static_cast<unsigned char>(bytes[i]) } << (i * bitsInByte);
        }
        return static_cast<Number>(value);
    }

    std::uint64_t index()
    {
        const auto value = number<std::uint64_t>();
        return value <= consensus::maxIndex ? value : throw base::Error("a number is out of range");
    }

    std::string_view text() { return take(number<std::uint32_t>()); }

    [[nodiscard]] bool atEnd() const { return m_bytes.empty(); }

    void read(SegmentHeader& body)
    {
        body.firstIndex = index();
        body.previousTerm = index();
        read(body.hardState);
    }

    void read(consensus::Entry& body)
    {
        body.index = index();
        body.term = index();
        const auto kind = number<std::uint8_t>();
        if (kind > static_cast<std::uint8_t>(consensus::EntryKind::NoOp)) {
            throw base::Error("the kind of an entry is unknown");
        }
        body.kind = static_cast<consensus::EntryKind>(kind);
        body.data = text();
    }

    void read(consensus::HardState& body)
    {
        body.term = index();
        const std::string_view vote = text();
        body.votedFor = vote.empty() ? base::NodeId() : base::NodeId(std::string(vote));
    }

    void read(LogReset& body)
    {
        body.index = index();
        body.term = index();
    }

    void read(FormatRecord& body)
    {
        body.version = number<std::uint64_t>();
        body.folderId = number<std::uint64_t>();
    }

    void read(SnapshotHeader& body)
    {
        body.meta.index = index();
        body.meta.term = index();
        body.meta.membership = consensus::decodeMembership(text());
        body.meta.size = index();
        body.meta.checksum = number<std::uint64_t>();
    }

    template <std::size_t kind = 0> RecordBody body(std::size_t wanted)
    {
        if constexpr (kind < std::variant_size_v<RecordBody>) {
            if (kind != wanted) {
                return body<kind + 1>(wanted);
            }
            std::variant_alternative_t<kind, RecordBody> result;
            read(result);
            return result;
        } else {
            throw base::Error("the kind of a record is unknown");
        }
    }

private:
    std::string_view take(std::size_t size)
    {
        if (size > m_bytes.size()) {
            throw base::Error("the record ends too early");
        }
        const std::string_view taken = m_bytes.substr(0, size);
        m_bytes.remove_prefix(size);
        return taken;
    }

    std::string_view m_bytes;
};

std::optional<Record> parsePayload(std::string_view payload)
{
    try {
        Reader reader(payload);
        const auto kind = reader.number<std::uint8_t>();
        const auto durableBytes = reader.number<std::uint64_t>();
        Record record { durableBytes, reader.body(kind) };
        return reader.atEnd() ? std::optional(std::move(record)) : std::nullopt;
    } catch (const base::Error&) {
        return std::nullopt;
    }
}

} // namespace

std::uint64_t checksumOf(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

void appendRecord(std::string& buffer, std::uint64_t durableBytes, const RecordBody& body)
{
    std::string payload;
    Writer writer(payload);
    writer.number(static_cast<std::uint8_t>(body.index()));
    writer.number(durableBytes);
    std::visit([&writer](const auto& fields) { writer.write(fields); }, body);
    Writer header(buffer);
    header.number(static_cast<std::uint32_t>(payload.size()));
    header.number(checksumOf(payload));
    buffer += payload;
}

ReadRecord readRecord(std::string_view bytes, std::size_t offset)
{
    const std::string_view rest = bytes.substr(offset);
    if (rest.size() < recordHeaderBytes) {
        return { std::nullopt, recordHeaderBytes };
    }
    Reader header(rest);
    const std::size_t length = header.number<std::uint32_t>();
    const auto checksum = header.number<std::uint64_t>();
    const std::size_t size = recordHeaderBytes + length;
    if (length < minPayloadBytes || length > maxPayloadBytes || size > rest.size()) {
        return { std::nullopt, size };
    }
    const std::string_view payload = rest.substr(recordHeaderBytes, length);
    return { checksumOf(payload) == checksum ? parsePayload(payload) : std::nullopt, size };
}

} // namespace crocuscove::storage
