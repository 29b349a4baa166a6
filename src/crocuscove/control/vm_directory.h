#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"
#include "crocuscove/http/http_client.h"
#include "platform/vm_codec.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crocuscove::control {

/// The platform's list of VMs, read again at intervals.
class VmDirectory {
public:
    VmDirectory(http::HttpClient& client, const base::Endpoint& vmInterface, const base::Log& log)
        : m_client(client)
        , m_interface(vmInterface)
        , m_log(log)
    {
    }

    /// Reads the list when the last reading started long enough ago.
    void refresh(base::MonotonicTime now);

    [[nodiscard]] const std::map<std::string, platform::Vm>& vms() const { return m_vms; }

    /// When the list was asked for that vms() shows; nothing before the first one.
    [[nodiscard]] std::optional<base::MonotonicTime> askedAt() const { return m_askedAt; }

private:
    using Vms = std::map<std::string, platform::Vm>;

    struct Reading {
        Vms vms;
        std::size_t pages = 0;
    };

    void readPage(const std::string& page, const std::shared_ptr<Reading>& reading);

    http::HttpClient& m_client;
    base::Endpoint m_interface;
    const base::Log& m_log;
    Vms m_vms;
    std::optional<base::MonotonicTime> m_startedAt;
    std::optional<base::MonotonicTime> m_askedAt;
    bool m_isReading = false;
};

} // namespace crocuscove::control
