#include "crocuscove/document/parse.h"
#include "crocuscove/document/test_documents.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace crocuscove::document {
namespace {

/// A replacement in a valid document, and the one problem that it must cause.
struct Malformed {
    std::string from;
    std::string to;
    int line;
    std::string field;
    std::string cause;
};

void expectOneProblem(const std::string& text, const Malformed& malformed)
{
    const ParseResult result = parseDocument(text, "x.yaml");
    EXPECT_FALSE(result.document) << malformed.to;
    ASSERT_EQ(result.problems.size(), 1U) << malformed.to << ": " << describe(result.problems.back());
    const Problem& problem = result.problems.front();
    EXPECT_EQ(problem.file, "x.yaml") << malformed.to;
    EXPECT_EQ(problem.line, malformed.line) << malformed.to << ": " << describe(problem);
    EXPECT_GE(problem.column, malformed.line > 0 ? 1 : 0) << malformed.to;
    EXPECT_EQ(problem.field, malformed.field) << malformed.to << ": " << describe(problem);
    EXPECT_NE(problem.cause.find(malformed.cause), std::string::npos) << malformed.to << ": " << describe(problem);
    EXPECT_FALSE(problem.allowed.empty()) << malformed.to;
}

void expectProblems(std::string_view valid, const std::vector<Malformed>& table)
{
    for (const Malformed& malformed : table) {
        expectOneProblem(replaced(valid, malformed.from, malformed.to), malformed);
    }
}

// Guards against values of the wrong type or range that take effect, and against reports that hide the place.
TEST(Malformed, ServiceValues)
{
    expectProblems(fullService,
        {
            { "crocuscove/v1", "crocuscove/v2", 1, "schema", "unknown schema 'crocuscove/v2'" },
            { "schema: crocuscove/v1\n", "", 1, "schema", "missing" },
            { "kind: service", "kind: servise", 2, "kind", "unknown value 'servise'" },
            { "kind: service\n", "", 1, "kind", "missing" },
            { "service: pricing", "service: 9pricing", 3, "service", "bad id '9pricing'" },
            { "service: pricing", "service: pri_cing", 3, "service", "bad id" },
            { "service: pricing", "service: " + std::string(64, 'a'), 3, "service", "bad id" },
            { "service: pricing", "service: fleet", 3, "service", "names the fleet document" },
            { "service: pricing\n", "", 1, "service", "missing" },
            { "team: shops", "team:", 4, "team", "expected text, found nothing" },
            { "team: shops", "team: [shops]", 4, "team", "expected text, found a list" },
            { "team: shops", "team: shops\nteam: sales", 5, "team", "duplicate key, first on line 4" },
            { "team: shops", "team: shops\nowner: me", 5, "owner", "unknown key" },
            { "  name: pricing\n", "", 6, "pool.name", "missing" },
            { "min: 8", "min: 13", 7, "pool.executors.min", "above the maximum" },
            { "min: 8", "min: eight", 7, "pool.executors.min", "expected a whole number" },
            { "min: 8", "min: 8.5", 7, "pool.executors.min", "expected a whole number" },
            { "min: 8", "min: \"8\"", 7, "pool.executors.min", "found quoted text" },
            { "min: 8", "min: 010", 7, "pool.executors.min", "expected a whole number" },
            { "min: 8", "min: 0", 7, "pool.executors.min", "out of range" },
            { "min: 8, ", "", 7, "pool.executors.min", "missing" },
            { "spare: 1", "spare: 5", 7, "pool.executors.spare", "together are above the maximum" },
            { "{min: 8, max: 12, spare: 1}", "12", 7, "pool.executors", "expected a map" },
            { "slotsPerExecutor: 8", "slotsPerExecutor: 1025", 8, "pool.slotsPerExecutor", "out of range" },
            { "slotsPerExecutor: 8", "slotsPerExecutor: 99999999999999999999", 8, "pool.slotsPerExecutor",
                "out of range" },
            { "connectionsPerExecutor: 64", "connectionsPerExecutor: 7", 9, "pool.connectionsPerExecutor",
                "below the 8 slots" },
            { "failureDomain: rack", "failureDomain: row", 10, "pool.failureDomain", "unknown value 'row'" },
            { "minAvailablePercent: 90", "minAvailablePercent: 100.5", 12, "availability.minAvailablePercent",
                "out of range" },
            { "minAvailablePercent: 90", "minAvailablePercent: .nan", 12, "availability.minAvailablePercent",
                "expected a number" },
            { "minAvailablePercent: 90", "minAvailablePercent: 90%", 12, "availability.minAvailablePercent",
                "expected a number" },
            { "maxBodyBytes: 1048576", "maxBodyBytes: -1", 31, "limits.maxBodyBytes", "out of range" },
            { "maxQueued: 1024", "maxQueued: {}", 32, "limits.maxQueued", "found a map" },
            { "{shops: 2}", "{shops: 0}", 36, "queue.clientShares.shops", "out of range" },
            { "{shops: 2}", "{Shops: 2}", 36, "queue.clientShares.Shops", "bad id" },
            { "{shops: 2}", "{[shops]: 2}", 36, "queue.clientShares", "the key is a list" },
            { "  pool: archive\n", "", 38, "jobs.pool", "missing" },
            { "cores: 512", "cores: 0", 40, "jobs.quota.cores", "out of range" },
        });
}

// Guards against routes and requests that can't work as their author expects.
TEST(Malformed, RoutesAndRequests)
{
    expectProblems(fullService,
        {
            { "    pathPrefix: /pricing\n", "    pathPrefix: pricing\n", 16, "routes[1].pathPrefix", "bad path" },
            { "    pathPrefix: /pricing\n", "    pathPrefix: /pricing/../x\n", 16, "routes[1].pathPrefix", "bad path" },
            { "    pathPrefix: /pricing\n", "    pathPrefix: /a?b\n", 16, "routes[1].pathPrefix", "bad path" },
            { "host: shop.example", "host: Shop.example:80", 15, "routes[1].host", "bad host" },
            { "    pathPrefix: /pricing\n", "    pathPrefix: /pricing\n  - pathPrefix: /pricing\n", 17, "routes[2]",
                "duplicate route, the same as routes[0]" },
            { "  - pathPrefix: /pricing\n  - host: shop.example\n    pathPrefix: /pricing\n", "  []\n", 14, "routes",
                "the list has 0 items" },
            { "method: GET", "method: get", 19, "requests[0].method", "bad method 'get'" },
            { "class: short", "class: quick", 21, "requests[0].class", "unknown value 'quick'" },
            { "deadlineMs: 2000", "deadlineMs: 86400001", 22, "requests[0].deadlineMs", "out of range" },
            { "deadlineMs: 2000", "deadlineMs: 2s", 22, "requests[0].deadlineMs", "expected a whole number" },
            { "idempotent: true", "idempotent: yes", 23, "requests[0].idempotent", "expected true or false" },
            { "    idempotent: true\n", "", 18, "requests[0].idempotent", "missing" },
            { "    idempotent: true\n", "    idempotent: true\n    retries: 3\n", 24, "requests[0].retries",
                "unknown key" },
            { "name: order", "name: quote", 24, "requests[1].name", "duplicate name 'quote'" },
            { "    method: GET\n    pathPrefix: /pricing/quote\n", "    pathPrefix: /pricing\n", 23, "requests[1]",
                "never matches, since requests[0] 'quote' on line 18" },
            { "pathPrefix: /pricing/order", "pathPrefix: /orders", 26, "requests[1].pathPrefix", "no route leads to" },
        });
}

// Guards against a maintenance budget that would stop maintenance for ever at full demand.
TEST(Malformed, BudgetThatCannotBeMet)
{
    constexpr std::string_view field = "availability.minAvailablePercent";
    const auto withPool = [](std::string_view executors, std::string_view percent) {
        return replaced(replaced(fullService, "{min: 8, max: 12, spare: 1}", executors), "Percent: 90", percent);
    };
    expectOneProblem(withPool("{min: 8, max: 12}", "Percent: 92"),
        { "", "92% of 12", 12, std::string(field),
            "92% of 12 executors wanted is 12, and one planned stop leaves 11" });
    expectOneProblem(
        withPool("{min: 1, max: 1}", "Percent: 1"), { "", "1 of 1", 12, std::string(field), "can't be met" });
    EXPECT_TRUE(parseDocument(withPool("{min: 8, max: 12}", "Percent: 91"), "x.yaml").document);
    EXPECT_TRUE(parseDocument(withPool("{min: 8, max: 12, spare: 1}", "Percent: 100"), "x.yaml").document);
    EXPECT_TRUE(parseDocument(withPool("{min: 1, max: 1}", "Percent: 0"), "x.yaml").document);
}

// Guards against a fleet document that takes effect with mistakes.
TEST(Malformed, FleetValues)
{
    expectProblems(fullFleet,
        {
            { "[dc-a, dc-b]", "[dc-a, dc-a]", 3, "dataCentres[1]", "duplicate data centre 'dc-a'" },
            { "[dc-a, dc-b]", "dc-a", 3, "dataCentres", "expected a list" },
            { "[dc-a, dc-b]", "[]", 3, "dataCentres", "the list has 0 items" },
            { "sparePool: spare\n", "", 1, "sparePool", "missing" },
            { "sparePool: spare\n", "sparePool: spare\nservice: pricing\n", 5, "service", "unknown value 'pricing'" },
            { "Hours: 504", "Hours: 0", 5, "maintenancePeriodHours", "out of range" },
            { "moves: 0.5", "moves: -1", 6, "weights.moves", "out of range" },
            { "moves: 0.5", "speed: 0.5", 6, "weights.speed", "unknown key" },
            { "shortWait: 4, bufferCost: 2, rolloutTime: 1, moves: 0.5",
                "shortWait: 0, bufferCost: 0, rolloutTime: 0, moves: 0", 6, "weights", "all weights are 0" },
        });
}

// Guards against texts that aren't one plain YAML document, and against the ones meant to exhaust the reader.
TEST(Malformed, Texts)
{
    const std::string document = "document";
    expectProblems(fullService,
        {
            { "team: shops", "team: [shops", 5, document, "syntax" },
            { "team: shops", "team:\tshops: x", 4, document, "syntax" },
            { "team: shops", "team: sh\xff", 4, document, "byte 0xff is not valid UTF-8" },
            { "team: shops", "team: sh\xc0\xaf", 4, document, "byte 0xc0 is not valid UTF-8" },
            { "team: shops", "team: sh\xed\xa0\x80", 4, document, "byte 0xed is not valid UTF-8" },
            { "team: shops", "team: sh\x01", 4, document, "control character 0x01" },
            { "team: shops", "team: &t shops", 4, document, "anchors are not supported" },
            { "team: shops", "team: !!str shops", 4, document, "tag 'tag:yaml.org,2002:str' is not supported" },
            { "team: shops", "team: shops\n---\nkind: service", 5, document, "a second YAML document follows" },
            { "team: shops", "team: " + std::string(17, '[') + std::string(17, ']'), 4, document, "nested too deeply" },
            { "team: shops", "team: " + std::string(100000, '[') + std::string(100000, ']'), 4, document,
                "nested too deeply" },
            { "team: shops", "team: [" + std::string(40000, ',') + "]", 4, document, "" },
            { "team: shops", "team: shops\n#" + std::string(maxDocumentBytes, 'x'), 0, document, "bytes" },
        });
    expectOneProblem("", { "", "empty", 1, document, "the document is empty" });
    expectOneProblem("# nothing\n", { "", "comment", 1, document, "the document is empty" });
    expectOneProblem("- a\n- b\n", { "", "list", 1, document, "expected a map, found a list" });
    expectOneProblem("null\n", { "", "null", 1, document, "expected a map, found nothing" });
    expectOneProblem(std::string("a\0b", 3), { "", "zero byte", 1, document, "control character 0x00" });
}

// Guards against a truncated quoted text that takes effect: yaml-cpp ends it at the end of the input without an error.
TEST(Malformed, UnterminatedQuote)
{
    for (const char* text : { "team: \"shops", "team: 'shops" }) {
        const ParseResult result = parseDocument(replaced(fullService, "team: shops", text), "x.yaml");
        EXPECT_FALSE(result.document);
        EXPECT_EQ(std::ranges::count(result.problems, 4, &Problem::line), 1) << text;
    }
    const ParseResult result = parseDocument(replaced(fullService, "accelerators: 0}", "accelerators: \"0}"), "x.yaml");
    EXPECT_FALSE(result.document);
    const ParseResult fleet = parseDocument(replaced(fullFleet, "sparePool: spare", "") + "sparePool: \"spare\n", "x");
    ASSERT_EQ(fleet.problems.size(), 1U);
    EXPECT_EQ(fleet.problems.front().line, 7);
}

// Guards against an alias bomb: 9 levels of 9 aliases each would expand to 387 million values.
TEST(Malformed, AliasBomb)
{
    std::string text = "a: &a [x, x, x, x, x, x, x, x, x]\n";
    for (char name = 'b'; name <= 'i'; ++name) {
        text += std::string(1, name) + ": &" + name + " [";
        for (int index = 0; index < 9; ++index) {
            text += std::string("*") + static_cast<char>(name - 1) + (index < 8 ? ", " : "]\n");
        }
    }
    const ParseResult result = parseDocument(text, "x.yaml");
    EXPECT_FALSE(result.document);
    EXPECT_EQ(std::ranges::count(result.problems, "aliases are not supported", &Problem::cause), 72);
    EXPECT_EQ(std::ranges::count(result.problems, "anchors are not supported", &Problem::cause), 9);
}

// Guards against an alias that is reported again as a value of the wrong type.
TEST(Malformed, AliasIsReportedOnce)
{
    std::string text = replaced(fullService, "name: pricing", "name: &p pricing");
    text = replaced(text, "pool: archive", "pool: *p");
    const ParseResult result = parseDocument(text, "x.yaml");
    ASSERT_EQ(result.problems.size(), 2U);
    EXPECT_EQ(result.problems[0].line, 6);
    EXPECT_EQ(result.problems[1].line, 38);
}

// Guards against too many values: each takes memory many times its byte of text.
TEST(Malformed, TooManyValues)
{
    std::string text(fullService);
    text += "x:\n";
    for (int index = 0; index < 17000; ++index) {
        text += "- 1\n";
    }
    expectOneProblem(text, { "", "x", 16325, "document", "too many values" });
}

} // namespace
} // namespace crocuscove::document
