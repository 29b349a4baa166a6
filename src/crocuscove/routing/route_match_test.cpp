#include "crocuscove/routing/route_match.h"

#include <gtest/gtest.h>

namespace crocuscove::routing {
namespace {

document::ServiceDocument service(const std::string& name, std::vector<document::Route> routes)
{
    document::ServiceDocument document;
    document.service = base::ServiceId(name);
    document.routes = std::move(routes);
    document.requests = { { "read", "GET", "/", document::WorkClass::Short, base::Milliseconds(100), true } };
    return document;
}

DocumentMap documents(std::vector<document::ServiceDocument> list)
{
    DocumentMap map;
    for (auto& each : list) {
        map.emplace(each.service, std::move(each));
    }
    return map;
}

std::string matched(const DocumentMap& map, std::string_view host, std::string_view path)
{
    const auto match = matchRoute(map, host, path, "GET");
    return match.document == nullptr ? "" : match.document->service.text();
}

// Guards against a general route taking the requests of a more specific one.
TEST(RouteMatch, PrefersHostThenLongestPrefix)
{
    const auto map = documents({ service("general", { { std::nullopt, "/" } }),
        service("long", { { std::nullopt, "/a/b" } }), service("hosted", { { "shop.example", "/" } }) });
    EXPECT_EQ(matched(map, "other.example", "/a"), "general");
    EXPECT_EQ(matched(map, "other.example", "/a/b/c"), "long");
    EXPECT_EQ(matched(map, "SHOP.example:8080", "/a/b/c"), "hosted");
}

// Guards against /ab reaching the service of /a, and against a query string being taken for a path.
TEST(RouteMatch, EndsPrefixAtSegment)
{
    const auto map = documents({ service("a", { { std::nullopt, "/a" } }) });
    EXPECT_EQ(matched(map, "h", "/a"), "a");
    EXPECT_EQ(matched(map, "h", "/a/x"), "a");
    EXPECT_EQ(matched(map, "h", "/a?x=/b"), "a");
    EXPECT_EQ(matched(map, "h", "/ab"), "");
    EXPECT_EQ(matched(map, "h", ""), "");
}

// Guards against a request of no declared kind running under another kind's terms.
TEST(RouteMatch, ReportsMissingKind)
{
    auto document = service("a", { { std::nullopt, "/" } });
    document.requests.push_back({ "write", "POST", "/w", document::WorkClass::Long, base::Milliseconds(5), false });
    const auto map = documents({ document });
    EXPECT_EQ(matchRoute(map, "h", "/x", "POST").reason, RouteReason::NoRequestKind);
    const auto match = matchRoute(map, "h", "/w/1", "POST");
    ASSERT_EQ(match.reason, RouteReason::Matched);
    EXPECT_EQ(match.kind->name, "write");
    EXPECT_EQ(match.kindIndex, 1U);
}

} // namespace
} // namespace crocuscove::routing
