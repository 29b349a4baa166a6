#include "crocuscove/http/response_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace crocuscove::http {

namespace {

constexpr std::size_t versionCharacters = 8; // "HTTP/1.1"
constexpr std::size_t statusLineMinimumCharacters = 12; // "HTTP/1.1 200"
constexpr std::uint64_t chunkSizeLimit = std::uint64_t(1) << 60;

std::optional<std::uint64_t> parseNumber(std::string_view text, int numberBase)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, numberBase);
    const bool isWhole = error == std::errc() && end == text.data() + text.size() && !text.empty();
    return isWhole ? std::optional(value) : std::nullopt;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? "" : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool isTokenCharacter(unsigned char c)
{
    return std::isalnum(c) != 0
        || std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
}

bool isControlCharacter(unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; }

bool hasToken(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        if (isSameHeaderName(trim(item), token)) {
            return true;
        }
    }
    return false;
}

} // namespace

ResponseParser::ResponseParser(ResponseLimits limits, std::string_view requestMethod)
    : m_limits(limits)
    , m_isHead(requestMethod == "HEAD")
{
}

ParseStatus ResponseParser::feed(std::string_view& input)
{
    m_hasStarted |= !input.empty();
    while (m_status == ParseStatus::NeedsMore && !input.empty()) {
        step(input);
    }
    return m_status;
}

void ResponseParser::step(std::string_view& input)
{
    if (m_stage == Stage::Body || m_stage == Stage::ChunkData) {
        takeBytes(input);
    } else if (takeLine(input)) {
        parseLine();
        m_line.clear();
    }
}

bool ResponseParser::takeLine(std::string_view& input)
{
    const auto end = input.find('\n');
    const std::string_view part = input.substr(0, end);
    // The count restarts with each chunk, so it bounds the headers, each chunk's framing, and the trailers.
    m_headerBytes += part.size() + 1;
    if (m_headerBytes > m_limits.maxHeaderBytes) {
        fail(ParseStatus::Oversized);
        return false;
    }
    m_line += part;
    if (end == std::string_view::npos) {
        input = {};
        return false;
    }
    input.remove_prefix(end + 1);
    if (m_line.empty() || m_line.back() != '\r') {
        fail(ParseStatus::Malformed);
        return false;
    }
    m_line.pop_back();
    return true;
}

void ResponseParser::takeBytes(std::string_view& input)
{
    const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, input.size()));
    m_response.body += input.substr(0, count);
    input.remove_prefix(count);
    m_remaining -= count;
    if (m_remaining == 0) {
        endData();
    }
}

void ResponseParser::endData()
{
    if (m_stage == Stage::Body) {
        m_status = ParseStatus::Complete;
    } else {
        m_stage = Stage::ChunkEnd;
    }
}

void ResponseParser::parseLine()
{
    switch (m_stage) {
    case Stage::StatusLine:
        return parseStatusLine();
    case Stage::HeaderLine:
        return m_line.empty() ? endHeaders() : parseHeaderLine();
    case Stage::ChunkSize:
        return parseChunkSize();
    case Stage::ChunkEnd:
        m_stage = Stage::ChunkSize;
        return m_line.empty() ? void() : fail(ParseStatus::Malformed);
    case Stage::Trailer:
        // Trailer fields are dropped; none is used here.
        return m_line.empty() ? fail(ParseStatus::Complete) : void();
    case Stage::Body:
    case Stage::ChunkData:
        return;
    }
}

void ResponseParser::parseStatusLine()
{
    const std::string_view line = m_line;
    const bool hasForm = line.size() >= statusLineMinimumCharacters
        && (line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 "))
        && (line.size() == statusLineMinimumCharacters || line[statusLineMinimumCharacters] == ' ');
    const auto status = hasForm ? parseNumber(line.substr(versionCharacters + 1, 3), 10) : std::nullopt;
    if (!status || *status < 100 || *status > 599) {
        return fail(ParseStatus::Malformed);
    }
    m_response.status = static_cast<int>(*status);
    m_keepsConnection = line[versionCharacters - 1] == '1';
    m_stage = Stage::HeaderLine;
}

void ResponseParser::parseHeaderLine()
{
    const std::string_view line = m_line;
    const auto colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const bool isValid = colon != std::string_view::npos && !name.empty() && std::ranges::all_of(name, isTokenCharacter)
        && std::ranges::none_of(line.substr(colon), isControlCharacter);
    if (!isValid) {
        return fail(ParseStatus::Malformed);
    }
    m_response.headers.add(std::string(name), std::string(trim(line.substr(colon + 1))));
}

void ResponseParser::endHeaders()
{
    const int status = m_response.status;
    if (status < 200) {
        // 101 would change the protocol, which no request here asks for.
        m_response = {};
        m_stage = Stage::StatusLine;
        return status == 101 ? fail(ParseStatus::Malformed) : void();
    }
    const Headers& headers = m_response.headers;
    m_keepsConnection = m_keepsConnection && !hasToken(headers.get("Connection"), "close");
    const std::size_t lengths = headers.count("Content-Length");
    const std::size_t encodings = headers.count("Transfer-Encoding");
    if (m_isHead || status == 204 || status == 304) {
        m_status = ParseStatus::Complete;
    } else if (lengths + encodings != 1) {
        fail(ParseStatus::Malformed);
    } else if (encodings == 1) {
        m_stage = Stage::ChunkSize;
        if (!isSameHeaderName(headers.get("Transfer-Encoding"), "chunked")) {
            fail(ParseStatus::Malformed);
        }
    } else {
        const auto length = parseNumber(headers.get("Content-Length"), 10);
        m_stage = Stage::Body;
        m_remaining = length.value_or(0);
        if (!length) {
            fail(ParseStatus::Malformed);
        } else if (*length > m_limits.maxBodyBytes) {
            fail(ParseStatus::Oversized);
        } else if (*length == 0) {
            m_status = ParseStatus::Complete;
        }
    }
}

void ResponseParser::parseChunkSize()
{
    const auto size = parseNumber(trim(std::string_view(m_line).substr(0, m_line.find(';'))), 16);
    if (!size || *size > chunkSizeLimit) {
        return fail(ParseStatus::Malformed);
    }
    if (m_response.body.size() + *size > m_limits.maxBodyBytes) {
        return fail(ParseStatus::Oversized);
    }
    m_remaining = *size;
    m_headerBytes = 0;
    m_stage = *size == 0 ? Stage::Trailer : Stage::ChunkData;
}

} // namespace crocuscove::http
