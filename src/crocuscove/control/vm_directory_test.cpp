#include "crocuscove/control/vm_directory.h"

#include "crocuscove/http/http_server.h"
#include "crocuscove/http/socket_testing.h"
#include "platform/testing.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <functional>
#include <string>

namespace crocuscove::control {
namespace {

using http::testing::runUntil;

class VmDirectoryTest : public testing::Test {
protected:
    static http::HttpServerOptions serverOptions()
    {
        http::HttpServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        return options;
    }

    http::EventLoop m_loop;
    base::Log m_log { base::LogLevel::Error };
    std::size_t m_requests = 0;
    /// Returns the next page of the list.
    std::function<std::string()> m_answer;
    http::HttpServer m_server { m_loop, serverOptions(),
        [this](const http::HttpRequest& /*request*/, const http::Responder& responder) {
            ++m_requests;
            http::HttpResponse response;
            response.status = 200;
            response.body = m_answer();
            responder.respond(response);
        } };
    http::HttpClient m_client { m_loop, http::HttpClientOptions {} };
    VmDirectory m_directory { m_client, { "127.0.0.1", m_server.port() }, m_log };
};

// Guards against a page that names itself as the next one, after which the list is never read to its end again.
TEST_F(VmDirectoryTest, AListWithoutEndIsGivenUpAndReadAgain)
{
    m_answer = [] { return platform::testing::vmPage("m-1", "t"); };
    const auto now = base::monotonicNow();
    m_directory.refresh(now);
    runUntil(m_loop, [&] { return m_requests >= 2; });
    EXPECT_FALSE(m_directory.askedAt());
    m_answer = [] { return platform::testing::vmPage("m-2", ""); };
    int refreshes = 0;
    runUntil(m_loop, [&] {
        m_directory.refresh(now + base::Milliseconds(1'000) * ++refreshes);
        return m_directory.askedAt().has_value();
    });
    ASSERT_EQ(m_directory.vms().size(), 1U) << "what was read before the end was given up is dropped";
    EXPECT_TRUE(m_directory.vms().contains("m-2"));
}

// Guards against pages with ever new names of the next one.
TEST_F(VmDirectoryTest, AListOfTooManyPagesIsGivenUp)
{
    m_answer = [this] { return platform::testing::vmPage("m-1", std::to_string(m_requests)); };
    m_directory.refresh(base::monotonicNow());
    runUntil(m_loop, [&] { return m_requests >= 2'000; });
    std::size_t turns = 0;
    runUntil(m_loop, [&] { return ++turns > 100; });
    EXPECT_EQ(m_requests, 2'000U);
    EXPECT_FALSE(m_directory.askedAt());
}

} // namespace
} // namespace crocuscove::control
