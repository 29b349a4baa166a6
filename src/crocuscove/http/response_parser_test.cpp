#include "crocuscove/http/response_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace crocuscove::http {
namespace {

constexpr ResponseLimits smallLimits { 200, 50 };

ParseStatus parse(std::string_view text, std::string_view method = "GET")
{
    ResponseParser parser(smallLimits, method);
    return parser.feed(text);
}

// Guards against losing or adding body bytes, and against taking the next response's bytes.
TEST(ResponseParserTest, ReadsWholeResponses)
{
    ResponseParser sized(smallLimits, "GET");
    std::string_view input = "HTTP/1.1 201 Created\r\nX-A:  b \r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1";
    EXPECT_EQ(sized.feed(input), ParseStatus::Complete);
    EXPECT_EQ(input, "HTTP/1.1");
    EXPECT_TRUE(sized.keepsConnection());
    const HttpResponse response = sized.takeResponse();
    EXPECT_EQ(response.status, 201);
    EXPECT_EQ(response.headers.get("x-a"), "b");
    EXPECT_EQ(response.body, "hello");

    ResponseParser chunked(smallLimits, "GET");
    input = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: x, Close\r\n\r\n"
            "3;a=b\r\nabc\r\n00002\r\nde\r\n0\r\nT: 1\r\n\r\n";
    EXPECT_EQ(chunked.feed(input), ParseStatus::Complete);
    EXPECT_FALSE(chunked.keepsConnection());
    EXPECT_EQ(chunked.takeResponse().body, "abcde");

    EXPECT_EQ(parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD"), ParseStatus::Complete);
    EXPECT_EQ(parse("HTTP/1.1 204 No Content\r\n\r\n"), ParseStatus::Complete);
    EXPECT_EQ(parse("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n"), ParseStatus::Complete);
}

// Guards against responses whose end is uncertain, which could be truncated or hide a second response.
TEST(ResponseParserTest, RefusesUncertainOrMalformedResponses)
{
    for (const std::string_view text : { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/2 200 OK\r\n", "HTTP/1.1 999 X\r\n",
             "HTTP/1.1 2x0 X\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\r\nno colon\r\n", "HTTP/1.1 200 OK\r\n: v\r\n",
             "HTTP/1.1 200 OK\r\nA : v\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "HTTP/1.1 101 Switch\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n" }) {
        EXPECT_EQ(parse(text), ParseStatus::Malformed) << text;
    }
}

// Guards against unbounded memory for headers, bodies, chunk framing and trailers.
TEST(ResponseParserTest, BoundsEveryPart)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(300, 'x');
    EXPECT_EQ(parse(filler), ParseStatus::Oversized);
    EXPECT_EQ(parse("HTTP/1.1 200 OK\r\nA: " + filler), ParseStatus::Oversized);
    EXPECT_EQ(parse("HTTP/1.1 200 OK\r\nContent-Length: 51\r\n\r\n"), ParseStatus::Oversized);
    EXPECT_EQ(parse(chunked + "33\r\n"), ParseStatus::Oversized);
    EXPECT_EQ(parse(chunked + "1e\r\n" + std::string(30, 'x') + "\r\n1e\r\n"), ParseStatus::Oversized);
    EXPECT_EQ(parse(chunked + "1;" + filler), ParseStatus::Oversized);
    EXPECT_EQ(parse(chunked + "0\r\nA: " + filler), ParseStatus::Oversized);
}

struct Parsed {
    ParseStatus status;
    std::string body;
    std::size_t rest;
};

Parsed parseInPieces(const std::string& text, const std::vector<std::size_t>& cuts)
{
    ResponseParser parser(smallLimits, "GET");
    std::size_t begin = 0;
    std::size_t taken = 0;
    for (std::size_t index = 0; index <= cuts.size() && parser.status() == ParseStatus::NeedsMore; ++index) {
        const std::size_t end = index < cuts.size() ? std::max(begin, cuts[index] % (text.size() + 1)) : text.size();
        std::string_view piece = std::string_view(text).substr(begin, end - begin);
        parser.feed(piece);
        taken = end - piece.size();
        begin = end;
    }
    return { parser.status(), parser.takeResponse().body, text.size() - taken };
}

std::string chunkedResponse(const std::string& body)
{
    std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char byte : body) {
        text += "1\r\n" + std::string(1, byte) + "\r\n";
    }
    return text + "0\r\n\r\n";
}

std::string sizedResponse(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against results that depend on how the network cuts the bytes, also for mutated responses.
RC_GTEST_PROP(ResponseParserProperty, ResultIsIndependentOfPieces, ())
{
    const auto body = *rc::gen::resize(50, rc::gen::string<std::string>());
    std::string text = *rc::gen::arbitrary<bool>() ? chunkedResponse(body) : sizedResponse(body);
    for (const auto& [position, byte] :
        *rc::gen::resize(4, rc::gen::arbitrary<std::vector<std::pair<std::size_t, char>>>())) {
        text[position % text.size()] = byte;
    }
    const auto cuts = *rc::gen::arbitrary<std::vector<std::size_t>>();
    const Parsed whole = parseInPieces(text, {});
    const Parsed pieces = parseInPieces(text, cuts);
    RC_ASSERT(whole.status == pieces.status);
    RC_ASSERT(whole.body == pieces.body);
    RC_ASSERT(whole.body.size() <= smallLimits.maxBodyBytes);
    if (whole.status == ParseStatus::Complete) {
        RC_ASSERT(whole.rest == pieces.rest);
    }
}

// Guards against a truncated answer that passes as a complete one: no proper prefix is complete.
RC_GTEST_PROP(ResponseParserProperty, NoPrefixIsComplete, ())
{
    const auto body = *rc::gen::resize(50, rc::gen::string<std::string>());
    const std::string text = *rc::gen::arbitrary<bool>() ? chunkedResponse(body) : sizedResponse(body);
    const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(parseInPieces(text.substr(0, size), {}).status == ParseStatus::NeedsMore);
    const Parsed whole = parseInPieces(text, {});
    RC_ASSERT(whole.status == ParseStatus::Complete);
    RC_ASSERT(whole.body == body);
    RC_ASSERT(whole.rest == 0U);
}

} // namespace
} // namespace crocuscove::http
