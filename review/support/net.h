// Plain HTTP/1.1 over blocking sockets, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

struct Address {
    std::string ip;
    int port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline Address parseAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    return { text.substr(0, colon), std::atoi(text.c_str() + colon + 1) };
}

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

struct Message {
    // Of a request.
    std::string method;
    std::string path;
    // Of an answer; 0 when none came.
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Reads one message. Returns nothing at the end of the stream, an error or the deadline.
inline std::optional<Message> readMessage(int fd, std::string& buffer, std::int64_t deadlineMs, bool isRequest)
{
    Message message;
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (headEnd == std::string::npos) {
            headEnd = buffer.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                std::size_t line = buffer.find("\r\n");
                const std::string first = buffer.substr(0, line);
                const auto space = first.find(' ');
                const auto second = first.find(' ', space + 1);
                if (isRequest) {
                    message.method = first.substr(0, space);
                    message.path = first.substr(space + 1, second - space - 1);
                } else {
                    message.status = std::atoi(first.c_str() + space + 1);
                }
                while (line < headEnd) {
                    const std::size_t next = buffer.find("\r\n", line + 2);
                    const std::string header = buffer.substr(line + 2, next - line - 2);
                    const auto colon = header.find(':');
                    if (colon != std::string::npos) {
                        std::string name = header.substr(0, colon);
                        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                        const auto value = header.find_first_not_of(' ', colon + 1);
                        message.headers[name] = value == std::string::npos ? "" : header.substr(value);
                    }
                    line = next;
                }
                length = message.headers.count("content-length") != 0
                    ? static_cast<std::size_t>(std::atoll(message.headers["content-length"].c_str()))
                    : 0;
            }
        }
        if (headEnd != std::string::npos && buffer.size() >= headEnd + 4 + length) {
            message.body = buffer.substr(headEnd + 4, length);
            buffer.erase(0, headEnd + 4 + length);
            return message;
        }
        const std::int64_t left = deadlineMs - steadyMs();
        pollfd waiting { fd, POLLIN, 0 };
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return std::nullopt;
        }
        char bytes[16384];
        const auto count = recv(fd, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return std::nullopt;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline int connectTo(const Address& address, std::int64_t timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = socketAddress(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        pollfd waiting { fd, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || poll(&waiting, 1, static_cast<int>(timeoutMs)) <= 0
            || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    int flags = 0;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &(flags = 1), sizeof(flags));
    return fd;
}

/// Sends a request on a connection of its own. Status 0 stands for no answer.
inline Message call(const Address& address, const std::string& method, const std::string& path,
    const std::string& body = {}, const std::string& host = {}, std::int64_t timeoutMs = 3000)
{
    const std::int64_t deadline = steadyMs() + timeoutMs;
    const int fd = connectTo(address, timeoutMs);
    if (fd < 0) {
        return {};
    }
    const std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + (host.empty() ? address.text() : host)
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nConnection: close\r\n\r\n" + body;
    std::string buffer;
    const auto answer = sendAll(fd, request) ? readMessage(fd, buffer, deadline, false) : std::nullopt;
    close(fd);
    return answer.value_or(Message {});
}

struct Answer {
    int status = 200;
    std::string body;
};

using Handler = std::function<Answer(const Message& request)>;

inline int listenOn(const Address& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enable = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    const sockaddr_in target = socketAddress(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0 || listen(fd, 128) != 0) {
        close(fd);
        throw std::runtime_error("can't listen on " + address.text());
    }
    return fd;
}

/// Serves connections for ever, each on a thread of its own.
inline void serve(int listener, const Handler& handler)
{
    while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        std::thread([fd, handler] {
            const int enable = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
            std::string buffer;
            while (const auto request = readMessage(fd, buffer, steadyMs() + 60'000, true)) {
                const Answer answer = handler(*request);
                const std::string text = "HTTP/1.1 " + std::to_string(answer.status)
                    + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.body.size())
                    + "\r\n\r\n" + answer.body;
                if (!sendAll(fd, text)) {
                    break;
                }
            }
            close(fd);
        }).detach();
    }
}

} // namespace review
