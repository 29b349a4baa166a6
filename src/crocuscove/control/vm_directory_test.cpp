#include "crocuscove/control/vm_directory.h"

#include "crocuscove/http/http_server.h"
#include "crocuscove/http/socket_testing.h"
#include "platform/testing.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace crocuscove::control {
namespace {

using http::testing::runUntil;

class VmDirectoryTest : public testing::Test {
protected:
    /// Refreshes the list until `condition` holds or the time of a test is over.
    bool refreshUntil(const std::function<bool()>& condition)
    {
        const auto refresh
            = m_loop.runEvery(base::Milliseconds(50), [this] { m_directory.refresh(base::monotonicNow()); });
        return runUntil(m_loop, condition);
    }

    http::EventLoop m_loop;
    base::Log m_log { base::LogLevel::Error };
    std::function<std::string(const std::string& query)> m_page;
    std::size_t m_readings = 0;
    http::HttpServer m_server { m_loop, {}, [this](const http::HttpRequest& request, const http::Responder& responder) {
                                   m_readings += request.query.empty() ? 1 : 0;
                                   http::HttpResponse response;
                                   response.status = 200;
                                   response.body = m_page(request.query);
                                   responder.respond(response);
                               } };
    http::HttpClient m_client { m_loop, {} };
    VmDirectory m_directory { m_client, { "127.0.0.1", m_server.port() }, m_log };
};

// Guards against a list that is never read again because a page refers to itself.
TEST_F(VmDirectoryTest, AListThatRepeatsAPageIsGivenUpAndReadAgain)
{
    m_page = [this](const std::string&) {
        return m_readings < 2 ? platform::testing::vmPage("vm-1", "again") : platform::testing::vmPage("vm-2", "");
    };
    ASSERT_TRUE(refreshUntil([&] { return m_directory.askedAt().has_value(); }));
    EXPECT_GE(m_readings, 2U);
    ASSERT_EQ(m_directory.vms().size(), 1U) << "what was read before the end was given up is dropped";
    EXPECT_TRUE(m_directory.vms().contains("vm-2"));
}

// Guards against a list that is never read again because it never ends.
TEST_F(VmDirectoryTest, AListWithoutEndIsGivenUpAndReadAgain)
{
    std::uint64_t pages = 0;
    m_page = [&](const std::string&) { return platform::testing::vmPage("vm-1", std::to_string(++pages)); };
    EXPECT_TRUE(refreshUntil([&] { return m_readings >= 2; }));
}

// Guards against pages with ever new names of the next one.
TEST_F(VmDirectoryTest, AListOfTooManyPagesIsGivenUp)
{
    constexpr std::uint64_t maxPages = 2'000;
    std::uint64_t pages = 0;
    m_page = [&](const std::string&) { return platform::testing::vmPage("vm-1", std::to_string(++pages)); };
    m_directory.refresh(base::monotonicNow());
    runUntil(m_loop, [&] { return pages >= maxPages; });
    std::size_t turns = 0;
    runUntil(m_loop, [&] { return ++turns > 100; });
    EXPECT_EQ(pages, maxPages);
    EXPECT_FALSE(m_directory.askedAt());
}

} // namespace
} // namespace crocuscove::control
