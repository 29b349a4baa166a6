#pragma once

#include "crocuscove/http/http_server.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace crocuscove::testing {

/// Takes announcements on a thread of its own and gives a fixed answer, in place of an admin listener.
class AdminDouble {
public:
    AdminDouble()
        : m_server(m_loop, {},
            [this](const http::HttpRequest& request, const http::Responder& responder) {
                const std::lock_guard lock(m_mutex);
                m_announcements.push_back(nlohmann::json::parse(request.body));
                responder.respond({ m_status, {}, m_answer.dump() });
            })
        , m_stopCheck(m_loop.runEvery(base::Milliseconds(5),
              [this] {
                  if (m_isStopping) {
                      m_loop.stop();
                  }
              }))
        , m_thread([this] { m_loop.run(); })
    {
    }

    ~AdminDouble()
    {
        m_isStopping = true;
        m_thread.join();
    }

    AdminDouble(const AdminDouble&) = delete;
    AdminDouble& operator=(const AdminDouble&) = delete;

    [[nodiscard]] base::Endpoint endpoint() const { return { "127.0.0.1", m_server.port() }; }

    void setAnswer(int status, const nlohmann::json& answer)
    {
        const std::lock_guard lock(m_mutex);
        m_status = status;
        m_answer = answer;
    }

    [[nodiscard]] std::vector<nlohmann::json> announcements() const
    {
        const std::lock_guard lock(m_mutex);
        return m_announcements;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<nlohmann::json> m_announcements;
    int m_status = 200;
    nlohmann::json m_answer { { "renewWithinMs", 1000 }, { "drain", false }, { "mayStop", false } };
    std::atomic<bool> m_isStopping { false };
    http::EventLoop m_loop;
    http::HttpServer m_server;
    http::Timer m_stopCheck;
    std::thread m_thread;
};

} // namespace crocuscove::testing
