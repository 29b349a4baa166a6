#include "crocuscove/document/parse.h"

#include "crocuscove/document/test_documents.h"

#include <gtest/gtest.h>

#include <set>
#include <utility>

namespace crocuscove::document {
namespace {

// Guards against values lost or swapped between the text and the typed document.
TEST(Parse, ReadsEveryFieldOfAService)
{
    const ParseResult result = parseDocument(fullService, "pricing.yaml");
    ASSERT_TRUE(result.document) << describe(result.problems.front());
    ServiceDocument expected;
    expected.service = base::ServiceId("pricing");
    expected.team = base::TeamId("shops");
    expected.pool = { base::PoolId("pricing"), { 8, 12, 1 }, 8, 64, FailureDomain::Rack };
    expected.minAvailablePercent = 90;
    expected.routes = { { std::nullopt, "/pricing" }, { "shop.example", "/pricing" } };
    expected.requests = {
        { "quote", "GET", "/pricing/quote", WorkClass::Short, base::Milliseconds(2000), true },
        { "order", "POST", "/pricing/order", WorkClass::Short, base::Milliseconds(5000), false },
    };
    expected.limits = { 1048576, 1024, 64 };
    expected.queue = { 1, { { base::TeamId("shops"), 2 } } };
    expected.jobs = JobsSection { base::PoolId("archive"), 1, { 512, 1048576, 0 } };
    EXPECT_EQ(std::get<ServiceDocument>(*result.document), expected);
    EXPECT_EQ(documentId(*result.document), base::ServiceId("pricing"));
}

// Guards against values lost or swapped in the fleet document.
TEST(Parse, ReadsEveryFieldOfTheFleet)
{
    const ParseResult result = parseDocument(fullFleet, "fleet.yaml");
    ASSERT_TRUE(result.document) << describe(result.problems.front());
    const auto& fleet = std::get<FleetDocument>(*result.document);
    EXPECT_EQ(fleet.dataCentres, (std::vector { base::DataCentreId("dc-a"), base::DataCentreId("dc-b") }));
    EXPECT_EQ(fleet.sparePool, base::PoolId("spare"));
    EXPECT_EQ(fleet.maintenancePeriod, std::chrono::hours(504));
    EXPECT_EQ(fleet.weights, (MeasureWeights { 4, 2, 1, 0.5 }));
    EXPECT_EQ(documentId(*result.document), base::ServiceId("fleet"));
}

// Guards against optional keys that are required by accident, and against defaults that drift from docs/document.md.
TEST(Parse, OptionalKeysHaveDefaults)
{
    constexpr std::string_view text = R"(schema: crocuscove/v1
kind: service
service: hello
team: newcomers
pool: {name: hello, executors: {min: 1, max: 2}}
availability: {minAvailablePercent: 50}
routes: [{pathPrefix: /}]
requests: [{name: any, pathPrefix: /, class: patient, deadlineMs: 1, idempotent: false}]
)";
    const ParseResult result = parseDocument(text, "hello.yaml");
    ASSERT_TRUE(result.document) << describe(result.problems.front());
    const auto& service = std::get<ServiceDocument>(*result.document);
    EXPECT_EQ(service.pool, (PoolSection { base::PoolId("hello"), { 1, 2, 0 }, 8, 64, FailureDomain::Rack }));
    EXPECT_EQ(service.limits, (LimitsSection { 1048576, 1024, 64 }));
    EXPECT_EQ(service.queue, QueueSection());
    EXPECT_EQ(service.jobs, std::nullopt);
    EXPECT_EQ(service.requests.front().method, std::nullopt);

    const ParseResult fleet = parseDocument(
        "schema: crocuscove/v1\nkind: fleet\nservice: fleet\ndataCentres: [dc-a]\nsparePool: spare\n", "fleet.yaml");
    ASSERT_TRUE(fleet.document) << describe(fleet.problems.front());
    EXPECT_EQ(std::get<FleetDocument>(*fleet.document).maintenancePeriod, std::chrono::hours(504));
    EXPECT_EQ(std::get<FleetDocument>(*fleet.document).weights, MeasureWeights());
}

// Guards against an author who must repair one mistake a run, since the first one hides the rest.
TEST(Parse, ReportsAllMistakesAtOnceInOrder)
{
    std::string text = replaced(fullService, "service: pricing", "service: Pricing");
    text = replaced(text, "min: 8", "min: 13");
    text = replaced(text, "deadlineMs: 2000", "deadlineMs: 0");
    text = replaced(text, "maxQueued: 1024", "maxQueue: 1024");
    const ParseResult result = parseDocument(text, "x.yaml");
    EXPECT_FALSE(result.document);
    std::vector<std::string> lines;
    for (const Problem& problem : result.problems) {
        lines.push_back(describe(problem));
    }
    const std::vector<std::string> expected {
        "x.yaml:3:10: service: bad id 'Pricing'; allowed: 1-63 characters of a-z, 0-9 and '-', starting with a letter",
        "x.yaml:7:20: pool.executors.min: the minimum 13 is above the maximum 12; allowed: 1 to 12",
        "x.yaml:22:17: requests[0].deadlineMs: '0' is out of range; allowed: 1 to 86400000",
        "x.yaml:32:3: limits.maxQueue: unknown key; allowed: maxBodyBytes, maxQueued, maxInFlightPerClient",
    };
    EXPECT_EQ(lines, expected);
}

// Guards against a report as large as a hostile document.
TEST(Parse, NumberOfProblemsIsBounded)
{
    std::string text(fullService);
    for (int index = 0; index < 3000; ++index) {
        text += "x" + std::to_string(index) + ": 1\n";
    }
    const ParseResult result = parseDocument(text, "x.yaml");
    EXPECT_EQ(result.problems.size(), 1000U);
    EXPECT_EQ(result.problems.back().cause, "further mistakes are not listed");
}

// Guards against examples that newcomers copy and that don't load.
TEST(Parse, ExamplesLoad)
{
    const auto files = exampleFiles();
    EXPECT_GE(files.size(), 13U); // Two users with five services and a fleet each, and the quickstart.
    for (const auto& file : files) {
        const ParseResult result = parseDocument(readFile(file), file.string());
        EXPECT_TRUE(result.document) << describe(result.problems.front());
    }
}

// Guards against example documents of one user that take each other's service or pool.
TEST(Parse, ExamplesOfAUserDoNotCollide)
{
    std::set<std::pair<std::filesystem::path, std::string>> ids;
    std::set<std::pair<std::filesystem::path, std::string>> pools;
    for (const auto& file : exampleFiles()) {
        const ParseResult result = parseDocument(readFile(file), file.string());
        ASSERT_TRUE(result.document) << file;
        EXPECT_TRUE(ids.emplace(file.parent_path(), documentId(*result.document).text()).second) << file;
        EXPECT_EQ(file.stem().string(), documentId(*result.document).text());
        if (const auto* service = std::get_if<ServiceDocument>(&*result.document)) {
            EXPECT_TRUE(pools.emplace(file.parent_path(), service->pool.name.text()).second) << file;
        }
    }
}

} // namespace
} // namespace crocuscove::document
