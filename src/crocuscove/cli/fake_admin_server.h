#pragma once

#include "crocuscove/base/settings.h"
#include "crocuscove/cli/fake_document_store.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace crocuscove::cli {

/// A stand-in of the admin API on loopback, on a thread of its own. It keeps documents, executes a request id once, and
/// misbehaves as told.
class FakeAdminServer {
public:
    enum class Behaviour {
        Normal,
        /// Closes the connection without executing the request.
        DropRequest,
        /// Executes the request and closes the connection.
        LoseAnswer,
        /// Executes the request and sends half of the answer.
        TruncateAnswer,
        /// Answers with bytes that aren't HTTP.
        Garbage,
        /// Answers with 200 and a body that isn't JSON.
        GarbageBody,
        /// Never answers.
        Silent,
        /// Answers 503 with outcome not-executed.
        Unavailable,
        /// Answers 504 with outcome unknown, without executing the request.
        Timeout,
        /// Answers 400 for another reason than the document's content.
        BadRequest,
        /// Answers 413.
        TooLarge,
        /// Answers without a length.
        NoLength,
    };

    FakeAdminServer()
        : m_base(event_base_new())
        , m_http(evhttp_new(m_base))
    {
        evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(m_http, "127.0.0.1", 0);
        if (socket == nullptr) {
            throw std::runtime_error("the fake can't listen");
        }
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        evhttp_set_gencb(m_http, onRequest, this);
        // The loop has no locks, so it looks for the end itself.
        m_stopCheck = event_new(m_base, -1, EV_PERSIST, onStopCheck, this);
        const timeval interval { 0, 2000 };
        event_add(m_stopCheck, &interval);
        m_thread = std::thread([this] { event_base_dispatch(m_base); });
    }

    ~FakeAdminServer()
    {
        m_isStopping = true;
        m_thread.join();
        event_free(m_stopCheck);
        evhttp_free(m_http);
        event_base_free(m_base);
    }

    FakeAdminServer(const FakeAdminServer&) = delete;
    FakeAdminServer& operator=(const FakeAdminServer&) = delete;

    [[nodiscard]] std::string flag() const { return fmt::format("--server=127.0.0.1:{}", m_port); }
    [[nodiscard]] base::Endpoint endpoint() const { return { "127.0.0.1", m_port }; }

    /// Sets how the next requests of a method are treated. Those after them are treated normally.
    void script(const std::string& method, std::deque<Behaviour> behaviours)
    {
        const std::lock_guard lock(m_mutex);
        m_script[method] = std::move(behaviours);
    }

    void put(const std::string& service, const std::string& text, const std::string& requestId = "seed")
    {
        const std::lock_guard lock(m_mutex);
        m_store.documents[service].push_back({ text, requestId });
    }

    void setAnswer(const std::string& path, const std::string& body)
    {
        const std::lock_guard lock(m_mutex);
        m_store.answers[path] = body;
    }

    /// Sets how often the rollout is reported as unfinished.
    void setUnfinishedRollouts(int count)
    {
        const std::lock_guard lock(m_mutex);
        m_store.unfinishedRollouts = count;
    }

    std::vector<FakeRevision> revisions(const std::string& service)
    {
        const std::lock_guard lock(m_mutex);
        return m_store.documents[service];
    }

    std::vector<FakeRequest> requests(const std::string& method)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<FakeRequest> selected;
        for (const FakeRequest& request : m_requests) {
            if (request.method == method) {
                selected.push_back(request);
            }
        }
        return selected;
    }

private:
    static void onStopCheck(evutil_socket_t, short, void* self)
    {
        auto* server = static_cast<FakeAdminServer*>(self);
        if (server->m_isStopping) {
            event_base_loopbreak(server->m_base);
        }
    }

    static void onRequest(evhttp_request* request, void* self)
    {
        auto* server = static_cast<FakeAdminServer*>(self);
        const std::lock_guard lock(server->m_mutex);
        server->handle(request);
    }

    static std::string headerOf(evhttp_request* request, const char* name)
    {
        const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
        return value == nullptr ? "" : value;
    }

    static std::string bodyOf(evhttp_request* request)
    {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        return body;
    }

    static void sendRaw(evhttp_request* request, const std::string& bytes, bool closes)
    {
        const auto socket
            = bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
        send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (closes) {
            shutdown(socket, SHUT_WR);
        }
    }

    static void sendAnswer(evhttp_request* request, const FakeAnswer& answer)
    {
        if (!answer.revision.empty()) {
            evhttp_add_header(
                evhttp_request_get_output_headers(request), "Crocuscove-Revision", answer.revision.c_str());
        }
        evbuffer* body = evbuffer_new();
        evbuffer_add(body, answer.body.data(), answer.body.size());
        evhttp_send_reply(request, answer.status, "status", body);
        evbuffer_free(body);
    }

    Behaviour nextBehaviour(const std::string& method)
    {
        auto& script = m_script[method];
        if (script.empty()) {
            return Behaviour::Normal;
        }
        const Behaviour behaviour = script.front();
        script.pop_front();
        return behaviour;
    }

    void handle(evhttp_request* request)
    {
        const std::string method = evhttp_request_get_command(request) == EVHTTP_REQ_PUT ? "PUT" : "GET";
        const std::string path = evhttp_request_get_uri(request);
        const FakeRequest record { method, path, headerOf(request, "Crocuscove-Request-Id"),
            headerOf(request, "Crocuscove-Expected-Revision"), bodyOf(request) };
        m_requests.push_back(record);
        switch (nextBehaviour(method)) {
        case Behaviour::Normal:
            sendAnswer(request, m_store.execute(record));
            break;
        case Behaviour::DropRequest:
            sendRaw(request, "", true);
            break;
        case Behaviour::LoseAnswer:
            m_store.execute(record);
            sendRaw(request, "", true);
            break;
        case Behaviour::TruncateAnswer:
            sendRaw(request,
                fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{}", m_store.execute(record).body), true);
            break;
        case Behaviour::Garbage:
            sendRaw(request, "\x01\x02 not HTTP at all\r\n\r\n", true);
            break;
        case Behaviour::GarbageBody:
            sendAnswer(request, { 200, "<html>", "x" });
            break;
        case Behaviour::Silent:
            break;
        case Behaviour::Unavailable:
            sendAnswer(request, { 503, R"({"error":"unavailable","outcome":"not-executed"})" });
            break;
        case Behaviour::Timeout:
            sendAnswer(request, { 504, R"({"error":"timeout","outcome":"unknown"})" });
            break;
        case Behaviour::BadRequest:
            sendAnswer(request, { 400, R"({"error":"invalid-request","cause":"too many documents"})" });
            break;
        case Behaviour::TooLarge:
            sendAnswer(request, { 413, "" });
            break;
        case Behaviour::NoLength:
            sendRaw(request, "HTTP/1.0 200 OK\r\n\r\n" + m_store.execute(record).body, true);
            break;
        }
    }

    event_base* m_base;
    evhttp* m_http;
    event* m_stopCheck = nullptr;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::map<std::string, std::deque<Behaviour>> m_script;
    FakeDocumentStore m_store;
    std::vector<FakeRequest> m_requests;
    std::thread m_thread;
};

} // namespace crocuscove::cli
