#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/http/http_client.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace crocuscove::testing {

struct AnnouncerOptions {
    /// Admin listeners. One is used at a time, the next one after a failure.
    std::vector<base::Endpoint> admins;
    std::string path;
    base::Milliseconds interval { 1000 };
    base::Milliseconds timeout { 1000 };
};

/// Sends a process's announcement, repeats it in time, and hands over the answers.
class Announcer {
public:
    using MakeBody = std::function<nlohmann::ordered_json()>;
    using OnAnswer = std::function<void(int status, const nlohmann::json& answer)>;

    Announcer(
        http::EventLoop& loop, const base::Log& log, AnnouncerOptions options, MakeBody makeBody, OnAnswer onAnswer);

    /// Announces at once. While an announcement is under way, another one follows it.
    void announce();

    void stop();

private:
    void send();
    void handleResult(const http::ExchangeResult& result);
    void scheduleNext(base::Milliseconds delay);

    http::EventLoop& m_loop;
    const base::Log& m_log;
    AnnouncerOptions m_options;
    MakeBody m_makeBody;
    OnAnswer m_onAnswer;
    std::size_t m_adminIndex = 0;
    bool m_isSending = false;
    bool m_isPending = false;
    bool m_isStopped = false;
    http::Timer m_next;
    http::HttpClient m_client;
};

} // namespace crocuscove::testing
