#pragma once

#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocuscove::cli {

/// Bounds of an answer. A status of 25,000 VMs takes about 3 MB.
inline constexpr std::size_t maxAnswerBytes = 16777216; // 16 MiB
inline constexpr std::size_t maxAnswerHeaderBytes = 65536; // 64 KiB

enum class HttpMethod {
    Get,
    Put,
};

using HttpHeader = std::pair<std::string, std::string>;

struct AdminRequest {
    HttpMethod method = HttpMethod::Get;
    std::string path;
    std::vector<HttpHeader> headers {};
    std::string body {};
};

enum class Delivery {
    /// A whole answer came.
    Answered,
    /// No connection was made, so the server did not see the request.
    NotSent,
    /// The server may have seen the request, but no whole answer came.
    Lost,
};

struct Exchange {
    Delivery delivery = Delivery::Lost;
    int status = 0;
    std::vector<HttpHeader> headers {};
    std::string body {};
    /// Why no whole answer came.
    std::string cause {};

    /// Returns the first header of this name, in any case of letters.
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
};

/// Sends one request to the admin listener and waits for the answer, at most until `deadline`.
Exchange exchange(const base::Endpoint& server, const AdminRequest& request, base::MonotonicTime deadline);

} // namespace crocuscove::cli
