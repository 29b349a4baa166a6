#pragma once

#include "crocuscove/base/settings.h"
#include "crocuscove/http/message.h"

#include <string>

namespace crocuscove::http {

/// Returns the bytes of `request` for HTTP/1.1. Throws base::InvalidInput when a part of it can't stand in a request.
std::string writeRequest(const HttpRequest& request, const base::Endpoint& endpoint);

} // namespace crocuscove::http
