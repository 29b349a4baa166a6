#pragma once

#include "crocuscove/base/settings.h"

#include <sys/socket.h>

namespace crocuscove::http {

struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t size = 0;

    [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
    [[nodiscard]] sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

/// Throws base::InvalidInput when the host is not a numeric IP address.
SocketAddress socketAddress(const base::Endpoint& endpoint);

/// Returns the port that a socket is bound to.
std::uint16_t boundPort(int fd);

} // namespace crocuscove::http
