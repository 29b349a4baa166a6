#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/base/log.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"
#include "crocuscove/http/http_client.h"
#include "crocuscove/state/records.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::server {

enum class PlatformVmState {
    Running,
    Rebooting,
    Off,
};

/// A VM as the platform lists it.
struct PlatformVm {
    base::VmId vm;
    base::DataCentreId dataCentre;
    base::RackId rack;
    PlatformVmState state = PlatformVmState::Running;
    std::uint64_t boots = 0;
    state::Resources capacity;
    /// Time of the last maintenance, or nothing when the platform doesn't know it.
    std::optional<base::WallTime> maintainedAt;
};

enum class PlatformCommand {
    Drain,
    Reboot,
    Replace,
};

/// Client of the platform's HTTP API. The operation id makes commands idempotent, and the epoch is the leader's term.
class PlatformClient {
public:
    PlatformClient(http::EventLoop& loop, const base::Log& log, base::Endpoint platform);

    /// Requests the list of VMs unless a request is already in progress.
    void refreshVms();

    /// Sends a command without waiting for its effect, which shows in a later list of VMs.
    void sendCommand(PlatformCommand command, const base::VmId& vm, std::uint64_t operation, std::uint64_t epoch,
        const base::PoolId& pool);

    [[nodiscard]] const std::map<base::VmId, PlatformVm>& vms() const { return m_vms; }

    /// Time at which the latest valid list of VMs was received.
    [[nodiscard]] std::optional<base::WallTime> listReceivedAt() const { return m_listReceivedAt; }

private:
    void handleVmList(const http::ExchangeResult& result);

    const base::Log& m_log;
    base::Endpoint m_platform;
    http::HttpClient m_client;
    bool m_isRefreshing = false;
    std::map<base::VmId, PlatformVm> m_vms;
    std::optional<base::WallTime> m_listReceivedAt;
};

} // namespace crocuscove::server
