#include "crocuscove/http/socket_address.h"

#include "crocuscove/base/error.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>

#include <new>

namespace crocuscove::http {

SocketAddress socketAddress(const base::Endpoint& endpoint)
{
    SocketAddress address;
    sockaddr_in v4 {};
    sockaddr_in6 v6 {};
    if (inet_pton(AF_INET, endpoint.host.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(endpoint.port);
        new (&address.storage) sockaddr_in(v4);
        address.size = sizeof(v4);
    } else if (inet_pton(AF_INET6, endpoint.host.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(endpoint.port);
        new (&address.storage) sockaddr_in6(v6);
        address.size = sizeof(v6);
    } else {
        throw base::InvalidInput(fmt::format("'{}' is not a numeric IP address and port", endpoint.text()));
    }
    return address;
}

std::uint16_t boundPort(int fd)
{
    SocketAddress address;
    address.size = sizeof(address.storage);
    getsockname(fd, address.get(), &address.size);
    return ntohs(address.storage.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6&>(address.storage).sin6_port
                                                       : reinterpret_cast<sockaddr_in&>(address.storage).sin_port);
}

} // namespace crocuscove::http
