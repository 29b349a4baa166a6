#pragma once

#include "crocuscove/http/message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocuscove::http {

struct ResponseLimits {
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 64UL * 1024 * 1024;
};

enum class ParseStatus {
    /// Every byte so far is valid; more must follow.
    NeedsMore,
    Complete,
    Malformed,
    Oversized,
};

/// Incremental parser of one HTTP/1.x response. It accepts only responses whose end is certain: by Content-Length, by
/// chunked encoding, or without a body. A body that ends with the connection is malformed here, because a truncated one
/// can't be told from a complete one. Interim (1xx) responses are skipped.
class ResponseParser {
public:
    ResponseParser(ResponseLimits limits, std::string_view requestMethod);

    /// Takes bytes from the front of `input` until the response is complete or refused. Bytes after the end of the
    /// response stay in `input`.
    ParseStatus feed(std::string_view& input);

    [[nodiscard]] ParseStatus status() const { return m_status; }

    /// Tells whether a first byte has been taken.
    [[nodiscard]] bool hasStarted() const { return m_hasStarted; }

    /// Tells whether the connection can carry another exchange, once the response is complete.
    [[nodiscard]] bool keepsConnection() const { return m_keepsConnection; }

    [[nodiscard]] HttpResponse takeResponse() { return std::move(m_response); }

private:
    enum class Stage {
        StatusLine,
        HeaderLine,
        Body,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
    };

    void step(std::string_view& input);
    bool takeLine(std::string_view& input);
    void takeBytes(std::string_view& input);
    void parseLine();
    void parseStatusLine();
    void parseHeaderLine();
    void parseChunkSize();
    void endHeaders();
    void endData();
    void fail(ParseStatus status) { m_status = status; }

    ResponseLimits m_limits;
    bool m_isHead;
    ParseStatus m_status = ParseStatus::NeedsMore;
    Stage m_stage = Stage::StatusLine;
    HttpResponse m_response;
    std::string m_line;
    std::size_t m_headerBytes = 0;
    std::uint64_t m_remaining = 0;
    bool m_hasStarted = false;
    bool m_keepsConnection = true;
};

} // namespace crocuscove::http
