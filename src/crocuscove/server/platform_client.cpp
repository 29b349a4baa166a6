#include "platform_client.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/error.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace crocuscove::server {

namespace {

constexpr base::Milliseconds callTimeout { 5000 };
constexpr std::size_t maxVmsListed = 200'000;

constexpr auto commandNames = base::enumNames<PlatformCommand>({
    { PlatformCommand::Drain, "drain" },
    { PlatformCommand::Reboot, "reboot" },
    { PlatformCommand::Replace, "replace" },
});

constexpr auto vmStateNames = base::enumNames<PlatformVmState>({
    { PlatformVmState::Running, "running" },
    { PlatformVmState::Rebooting, "rebooting" },
    { PlatformVmState::Off, "off" },
});

PlatformVm parseVm(const nlohmann::json& body)
{
    PlatformVm vm;
    vm.vm = base::VmId(body.at("vm").get<std::string>());
    vm.dataCentre = base::DataCentreId(body.at("dataCentre").get<std::string>());
    vm.rack = base::RackId(body.at("rack").get<std::string>());
    const auto state = vmStateNames.parse(body.at("state").get<std::string>());
    if (!state) {
        throw base::InvalidInput("the VM state is unknown");
    }
    vm.state = *state;
    vm.boots = body.at("boots").get<std::uint64_t>();
    vm.capacity = { body.at("cores").get<std::uint32_t>(), body.at("memoryMb").get<std::uint64_t>(),
        body.value("accelerators", std::uint32_t { 0 }) };
    if (body.contains("maintainedAtMs")) {
        vm.maintainedAt = base::WallTime(base::Milliseconds(body.at("maintainedAtMs").get<std::int64_t>()));
    }
    return vm;
}

std::map<base::VmId, PlatformVm> parseVmList(const std::string& body)
{
    const auto list = nlohmann::json::parse(body).at("vms");
    if (list.size() > maxVmsListed) {
        throw base::InvalidInput("the list has too many VMs");
    }
    std::map<base::VmId, PlatformVm> vms;
    for (const auto& entry : list) {
        auto vm = parseVm(entry);
        const auto id = vm.vm;
        vms.insert_or_assign(id, std::move(vm));
    }
    return vms;
}

} // namespace

PlatformClient::PlatformClient(http::EventLoop& loop, const base::Log& log, base::Endpoint platform)
    : m_log(log)
    , m_platform(std::move(platform))
    , m_client(loop, {})
{
}

void PlatformClient::refreshVms()
{
    if (m_isRefreshing) {
        return;
    }
    m_isRefreshing = true;
    http::HttpRequest request;
    request.path = "/v1/vms";
    m_client.call(m_platform, request, base::monotonicNow() + callTimeout, [this](const http::ExchangeResult& result) {
        m_isRefreshing = false;
        handleVmList(result);
    });
}

void PlatformClient::handleVmList(const http::ExchangeResult& result)
{
    if (!result.response || result.response->status != 200) {
        m_log.warning("platform_unavailable",
            { { "failure",
                result.response ? fmt::format("status {}", result.response->status)
                                : std::string(http::exchangeFailureName(result.failure)) } });
        return;
    }
    try {
        m_vms = parseVmList(result.response->body);
        m_listReceivedAt = base::wallNow();
    } catch (const base::Error& error) {
        m_log.warning("platform_answer_invalid", { { "cause", error.what() } });
    } catch (const nlohmann::json::exception& error) {
        m_log.warning("platform_answer_invalid", { { "cause", error.what() } });
    }
}

void PlatformClient::sendCommand(PlatformCommand command, const base::VmId& vm, std::uint64_t operation,
    std::uint64_t epoch, const base::PoolId& pool)
{
    const auto name = commandNames.name(command);
    http::HttpRequest request;
    request.method = "POST";
    request.path = fmt::format("/v1/vms/{}/{}", vm.text(), name);
    request.headers.add("Content-Type", "application/json");
    const nlohmann::ordered_json body { { "operation", fmt::format("{}-{}", name, operation) }, { "epoch", epoch },
        { "pool", pool.text() } };
    request.body = body.dump();
    m_client.call(m_platform, request, base::monotonicNow() + callTimeout,
        [this, vm, name, operation](const http::ExchangeResult& result) {
            if (!result.response || result.response->status != 200) {
                m_log.warning("platform_command_failed",
                    { { "vm", vm.text() }, { "command", name }, { "operation", operation },
                        { "status", result.response ? result.response->status : 0 } });
            }
        });
}

} // namespace crocuscove::server
