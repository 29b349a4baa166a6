#include "support/announcer.h"

#include <algorithm>
#include <utility>

namespace crocuscove::testing {

namespace {

constexpr base::Milliseconds minAnnounceInterval { 10 };

} // namespace

Announcer::Announcer(
    http::EventLoop& loop, const base::Log& log, AnnouncerOptions options, MakeBody makeBody, OnAnswer onAnswer)
    : m_loop(loop)
    , m_log(log)
    , m_options(std::move(options))
    , m_makeBody(std::move(makeBody))
    , m_onAnswer(std::move(onAnswer))
    , m_client(loop, {})
{
}

void Announcer::announce()
{
    if (m_isStopped || m_options.admins.empty()) {
        return;
    }
    if (m_isSending) {
        m_isPending = true;
    } else {
        send();
    }
}

void Announcer::stop()
{
    m_isStopped = true;
    m_next.cancel();
}

void Announcer::send()
{
    m_isSending = true;
    m_isPending = false;
    m_next.cancel();
    http::HttpRequest request;
    request.method = "POST";
    request.path = m_options.path;
    request.headers.add("Content-Type", "application/json");
    request.body = m_makeBody().dump();
    m_client.call(m_options.admins[m_adminIndex], request, base::monotonicNow() + m_options.timeout,
        [this](const http::ExchangeResult& result) { handleResult(result); });
}

void Announcer::handleResult(const http::ExchangeResult& result)
{
    m_isSending = false;
    if (m_isStopped) {
        return;
    }
    const int status = result.response ? result.response->status : 0;
    nlohmann::json answer = nlohmann::json::object();
    if (result.response) {
        answer = nlohmann::json::parse(result.response->body, nullptr, false);
    }
    const bool isUsable = (status == 200 || status == 409) && answer.is_object();
    base::Milliseconds delay = m_options.interval;
    if (isUsable) {
        // Half the time that the answer grants leaves room for one lost announcement.
        const base::Milliseconds granted(answer.value("renewWithinMs", delay.count() * 2) / 2);
        delay = std::max(minAnnounceInterval, std::min(granted, m_options.interval));
    } else {
        m_log.warning("announcement-failed",
            { { "admin", m_options.admins[m_adminIndex].text() }, { "status", status },
                { "failure", http::exchangeFailureName(result.failure) } });
        m_adminIndex = (m_adminIndex + 1) % m_options.admins.size();
    }
    scheduleNext(m_isPending ? base::Milliseconds(0) : delay);
    if (isUsable) {
        m_onAnswer(status, answer);
    }
}

void Announcer::scheduleNext(base::Milliseconds delay)
{
    m_next = m_loop.runAt(base::monotonicNow() + delay, [this] { announce(); });
}

} // namespace crocuscove::testing
