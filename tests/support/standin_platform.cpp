#include "support/standin_platform.h"

#include "crocuscove/base/error.h"
#include "support/command.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuscove::testing {

namespace {

constexpr std::size_t maxOperations = 100'000;

http::HttpResponse json(int status, const nlohmann::ordered_json& body)
{
    return { status, { { { "Content-Type", "application/json" } } }, body.dump() };
}

http::HttpResponse refusal(int status, std::string_view error) { return json(status, { { "error", error } }); }

bool isVerb(std::string_view text) { return text == "drain" || text == "reboot" || text == "replace"; }

} // namespace

std::vector<PlatformVm> parsePlatformVms(const nlohmann::json& json)
{
    std::vector<PlatformVm> vms;
    for (const nlohmann::json& entry : json) {
        if (!entry.is_object() || !entry.contains("vm") || !entry.contains("dataCentre") || !entry.contains("rack")) {
            throw base::InvalidInput(fmt::format("a VM needs vm, dataCentre and rack: {}", entry.dump()));
        }
        vms.push_back({ entry["vm"], entry["dataCentre"], entry["rack"], "running", 1, entry.value("cores", 8),
            entry.value("memoryMb", 16'384), entry.value("accelerators", 0) });
        if (entry.contains("maintainedAtMs")) {
            vms.back().maintainedAtMs = entry["maintainedAtMs"].get<std::int64_t>();
        }
    }
    return vms;
}

StandinPlatform::StandinPlatform(http::EventLoop& loop, const base::Log& log, const StandinPlatformOptions& options)
    : m_loop(loop)
    , m_log(log)
    , m_options(options)
    , m_records(options.recordsFile)
    , m_server(loop, { .listen = options.listen },
          [this](const http::HttpRequest& request, const http::Responder& responder) { handle(request, responder); })
{
    for (const PlatformVm& vm : options.vms) {
        m_vms[vm.vm] = vm;
    }
    m_log.info("started", { { "port", port() }, { "vms", m_vms.size() } });
}

void StandinPlatform::handle(const http::HttpRequest& request, const http::Responder& responder)
{
    const http::HttpResponse response = answer(request);
    if (request.method != "GET") {
        m_records.append({ { "atMs", base::wallNow().time_since_epoch().count() }, { "method", request.method },
            { "path", request.path }, { "body", request.body }, { "status", response.status },
            { "answer", response.body } });
    }
    responder.respond(response);
}

http::HttpResponse StandinPlatform::answer(const http::HttpRequest& request)
{
    const std::vector<std::string> parts = splitList(request.path, '/');
    const bool isVmPath = parts.size() >= 4 && parts[2] == "vms";
    if (request.method == "GET" && request.path == "/v1/vms") {
        return listVms();
    }
    if (isVmPath && !m_vms.contains(parts[3])) {
        return refusal(404, "no-such-vm");
    }
    if (isVmPath && parts.size() == 5 && parts[1] == "v1" && request.method == "POST" && isVerb(parts[4])) {
        return command(parts[3], parts[4], nlohmann::json::parse(request.body, nullptr, false));
    }
    if (isVmPath && parts.size() == 4 && parts[1] == "standin" && request.method == "PUT") {
        return changeState(parts[3], request);
    }
    return refusal(404, "no-such-call");
}

http::HttpResponse StandinPlatform::listVms() const
{
    nlohmann::ordered_json vms = nlohmann::ordered_json::array();
    for (const auto& [id, vm] : m_vms) {
        vms.push_back({ { "vm", vm.vm }, { "dataCentre", vm.dataCentre }, { "rack", vm.rack }, { "state", vm.state },
            { "boots", vm.boots }, { "cores", vm.cores }, { "memoryMb", vm.memoryMb },
            { "accelerators", vm.accelerators } });
        if (vm.maintainedAtMs) {
            vms.back()["maintainedAtMs"] = *vm.maintainedAtMs;
        }
    }
    return json(200, { { "vms", vms } });
}

http::HttpResponse StandinPlatform::command(const std::string& vm, const std::string& verb, const nlohmann::json& body)
{
    const bool isValid = body.is_object() && body.contains("operation") && body["operation"].is_string()
        && body.contains("epoch") && body["epoch"].is_number_integer();
    if (!isValid) {
        return refusal(400, "operation and epoch are needed");
    }
    const std::int64_t epoch = body["epoch"];
    if (epoch < m_highestEpoch) {
        m_log.warning("stale-epoch", { { "vm", vm }, { "verb", verb }, { "epoch", epoch } });
        return json(409, { { "error", "stale-epoch" }, { "epoch", m_highestEpoch } });
    }
    m_highestEpoch = epoch;
    const std::string operation = body["operation"];
    const auto known = m_operations.find(operation);
    const bool isRepeated = known != m_operations.end();
    if (isRepeated && (known->second.verb != verb || known->second.vm != vm)) {
        return refusal(409, "operation-conflict");
    }
    if (!isRepeated && m_operations.size() >= maxOperations) {
        return refusal(503, "too-many-operations");
    }
    PlatformVm& target = m_vms.at(vm);
    if (!isRepeated) {
        m_operations[operation] = { verb, vm };
        m_log.info("command", { { "vm", vm }, { "verb", verb }, { "operation", operation }, { "epoch", epoch } });
        if (verb != "drain") {
            restart(target);
        }
    }
    return json(
        200, { { "operation", operation }, { "vm", vm }, { "state", target.state }, { "repeated", isRepeated } });
}

void StandinPlatform::restart(PlatformVm& vm)
{
    vm.state = "rebooting";
    const bool isReturning = std::ranges::find(m_options.neverReturning, vm.vm) == m_options.neverReturning.end();
    m_restarts[vm.vm]
        = m_loop.runAt(base::monotonicNow() + base::Milliseconds(m_options.rebootMs), [this, &vm, isReturning] {
              vm.state = isReturning ? "running" : "off";
              vm.boots += isReturning ? 1 : 0;
              m_log.info("restarted", { { "vm", vm.vm }, { "state", vm.state }, { "boots", vm.boots } });
          });
}

http::HttpResponse StandinPlatform::changeState(const std::string& vm, const http::HttpRequest& request)
{
    const std::string state = http::queryParameter(request.query, "state").value_or("");
    if (state != "running" && state != "off") {
        return refusal(400, "state must be running or off");
    }
    PlatformVm& target = m_vms.at(vm);
    m_restarts.erase(vm);
    target.boots += state == "running" && target.state != "running" ? 1 : 0;
    target.state = state;
    m_log.info("state-changed", { { "vm", vm }, { "state", state } });
    return json(200, { { "vm", vm }, { "state", state } });
}

} // namespace crocuscove::testing
