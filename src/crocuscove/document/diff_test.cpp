#include "crocuscove/document/diff.h"

#include "crocuscove/document/test_documents.h"

#include <gtest/gtest.h>

namespace crocuscove::document {
namespace {

Document parsed(const std::string& text)
{
    const ParseResult result = parseDocument(text, "x.yaml");
    if (!result.document) {
        throw std::runtime_error(describe(result.problems.front()));
    }
    return *result.document;
}

std::string diff(const std::string& before, const std::string& after)
{
    return describe(diffDocuments(parsed(before), parsed(after)));
}

// Guards against a difference reported for layout, comments or written-out defaults.
TEST(Diff, LayoutAndDefaultsDoNotCount)
{
    const std::string text(fullService);
    EXPECT_EQ(diff(text, "# comment\n" + replaced(text, "  slotsPerExecutor: 8\n", "")), "");
    EXPECT_EQ(diff(text, replaced(text, "{shops: 2}", "\n    shops: 2")), "");
}

// Guards against changes that an operator would miss before applying.
TEST(Diff, ReportsChangedNewAndRemovedFields)
{
    std::string after = replaced(fullService, "max: 12", "max: 14");
    after = replaced(after, "    method: GET\n", "");
    after = replaced(after, "{shops: 2}", "{shops: 2, sales: 3}");
    EXPECT_EQ(diff(std::string(fullService), after),
        "~ pool.executors.max: 12 -> 14\n"
        "- requests[quote].method: GET\n"
        "+ queue.clientShares.sales: 3\n");
}

// Guards against an unseen change of the order of requests, which decides the one that matches.
TEST(Diff, ReportsOrderOfRequests)
{
    const std::string text(fullService);
    const auto first = text.find("  - name: quote");
    const auto second = text.find("  - name: order");
    const auto end = text.find("limits:");
    const std::string swapped = text.substr(0, first) + text.substr(second, end - second)
        + text.substr(first, second - first) + text.substr(end);
    EXPECT_EQ(diff(text, swapped), "~ requests: quote, order -> order, quote\n");
}

// Guards against a lost difference between the kinds of document.
TEST(Diff, KindsDiffer)
{
    const auto changes = diffDocuments(parsed(std::string(fullService)), parsed(std::string(fullFleet)));
    EXPECT_EQ(changes.front(), (FieldChange { "kind", "service", "fleet" }));
}

// Guards against two documents that differ without any change reported: each field is changed in turn.
TEST(Diff, EveryFieldCounts)
{
    const std::vector<std::pair<std::string, std::string>> replacements {
        { "service: pricing", "service: prices" },
        { "team: shops", "team: sales" },
        { "name: pricing", "name: other" },
        { "min: 8", "min: 7" },
        { "max: 12", "max: 13" },
        { "spare: 1", "spare: 2" },
        { "Executor: 8", "Executor: 9" },
        { "Executor: 64", "Executor: 65" },
        { "Domain: rack", "Domain: data-centre" },
        { "cent: 90", "cent: 89.5" },
        { "host: shop", "host: web" },
        { "GET", "PUT" },
        { "/pricing/quote", "/pricing/q" },
        { "class: short", "class: long" },
        { "Ms: 2000", "Ms: 2001" },
        { "idempotent: true", "idempotent: false" },
        { "Bytes: 1048576", "Bytes: 1" },
        { "Queued: 1024", "Queued: 1" },
        { "Client: 64", "Client: 65" },
        { "share: 1", "share: 2" },
        { "shops: 2", "shops: 3" },
        { "pool: archive", "pool: old" },
        { "cores: 512", "cores: 513" },
        { "Mb: 1048576", "Mb: 1" },
        { "accelerators: 0", "accelerators: 1" },
    };
    for (const auto& [from, to] : replacements) {
        EXPECT_NE(diff(std::string(fullService), replaced(fullService, from, to)), "") << to;
    }
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> { { "dc-b", "dc-c" },
             { "spare\n", "rest\n" }, { "504", "505" }, { "Wait: 4", "Wait: 3" }, { "Cost: 2", "Cost: 3" },
             { "Time: 1", "Time: 2" }, { "moves: 0.5", "moves: 1" } }) {
        EXPECT_NE(diff(std::string(fullFleet), replaced(fullFleet, from, to)), "") << to;
    }
}

} // namespace
} // namespace crocuscove::document
