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
    /// Nothing when the platform does not know it.
    std::optional<base::WallTime> maintainedAt;
};

enum class PlatformCommand {
    Drain,
    Reboot,
    Replace,
};

/// The platform's interface. Commands are idempotent by operation, and carry the leader's term as epoch.
class PlatformClient {
public:
    PlatformClient(http::EventLoop& loop, const base::Log& log, base::Endpoint platform);

    /// Asks for the list of VMs unless a call is running.
    void refresh();

    /// Sends a command. Its outcome shows in a later list.
    void send(PlatformCommand command, const base::VmId& vm, std::uint64_t operation, std::uint64_t epoch,
        const base::PoolId& pool);

    [[nodiscard]] const std::map<base::VmId, PlatformVm>& vms() const { return m_vms; }

    /// Moment of the last complete list.
    [[nodiscard]] std::optional<base::WallTime> seenAt() const { return m_seenAt; }

private:
    void receiveList(const http::ExchangeResult& result);

    const base::Log& m_log;
    base::Endpoint m_platform;
    http::HttpClient m_client;
    bool m_isRefreshing = false;
    std::map<base::VmId, PlatformVm> m_vms;
    std::optional<base::WallTime> m_seenAt;
};

} // namespace crocuscove::server
