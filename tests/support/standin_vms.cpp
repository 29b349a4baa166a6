#include "support/standin_vms.h"

#include "crocuscove/base/error.h"
#include "support/odd_rows.h"

#include <algorithm>
#include <utility>

namespace crocuscove::testing {

namespace {

constexpr base::Milliseconds restartTimeout { 1'000 };

http::HttpServerOptions serverOptions(const base::Endpoint& listen)
{
    http::HttpServerOptions options;
    options.listen = listen;
    return options;
}

void respond(const http::Responder& responder, int status, const nlohmann::json& body = nlohmann::json::object())
{
    http::HttpResponse response;
    response.status = status;
    response.body = body.dump();
    responder.respond(response);
}

} // namespace

StandinVms::StandinVms(http::EventLoop& loop, StandinVmsOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_records(m_options.recordsFile)
    , m_client(loop, http::HttpClientOptions {})
    , m_server(loop, serverOptions(m_options.listen),
          [this](const http::HttpRequest& request, const http::Responder& responder) { handle(request, responder); })
{
    for (const std::string& text : m_options.vms) {
        const auto name = text.find('=');
        const auto address = text.find('@');
        if (name == std::string::npos || address == std::string::npos || address < name) {
            throw base::Error("VM " + text + " is not VM=WORKER@HOST:PORT");
        }
        Vm& vm = m_vms[text.substr(0, name)];
        vm.worker = text.substr(name + 1, address - name - 1);
        vm.address = base::parseEndpoint(text.substr(address + 1));
    }
}

void StandinVms::handle(const http::HttpRequest& request, const http::Responder& responder)
{
    if (request.path == "/api/machines") {
        list(responder);
    } else if (request.path == "/api/machine-upkeep") {
        maintain(nlohmann::json::parse(request.body), responder);
    } else {
        respond(responder, 400);
    }
}

void StandinVms::list(const http::Responder& responder)
{
    const bool leavesOut = ++m_lists % 2 == 0;
    const auto now = base::monotonicNow();
    nlohmann::json vms = nlohmann::json::array();
    for (const auto& [id, vm] : m_vms) {
        if (leavesOut && id == m_options.leftOut) {
            continue;
        }
        const bool isStale = now < vm.staleUntil;
        vms.push_back({ { "machine", id }, { "pool", m_options.pool },
            { "state", vm.isUp || isStale ? "up" : "upkeep" }, { "zone", "z" }, { "labels", { "a", "r1" } },
            { "capacity", { { "cpu", 8000 }, { "memMb", 8192 }, { "gpu", 0 } } },
            { "id", isStale ? vm.earlierWorker : vm.worker } });
    }
    http::HttpResponse response;
    response.status = 200;
    response.body = nlohmann::json { { "machines", vms }, { "nextToken", "" } }.dump();
    if (m_options.hasOddEntries) {
        response.body = withOddRows(response.body, "machines");
    }
    responder.respond(response);
}

void StandinVms::maintain(const nlohmann::json& body, const http::Responder& responder)
{
    const auto id = body.at("machine").get<std::string>();
    const auto found = m_vms.find(id);
    if (found == m_vms.end()) {
        respond(responder, 400);
        return;
    }
    if (m_options.isAlreadyDone) {
        record("already-done", id);
        respond(responder, 200);
        return;
    }
    if (id == m_options.lateVm && !std::exchange(m_wasLate, true)) {
        record("late", id);
        m_lateOrder = m_loop.runAt(base::monotonicNow() + base::Milliseconds(m_options.lateMs),
            [this, body, responder] { maintain(body, responder); });
        return;
    }
    Vm& vm = found->second;
    if (!vm.isUp) {
        respond(responder, 409, { { "reason", "busy" } });
        return;
    }
    vm.isUp = false;
    vm.earlierWorker = vm.worker;
    vm.staleUntil = base::monotonicNow() + base::Milliseconds(m_options.staleMs);
    vm.worker += "-next";
    record("down", id);
    http::HttpRequest restart;
    restart.method = "POST";
    restart.path = "/standin/restart";
    restart.body = nlohmann::json { { "id", vm.worker }, { "afterMs", m_options.maintenanceMs } }.dump();
    m_client.call(vm.address, restart, base::monotonicNow() + restartTimeout,
        [responder](const http::ExchangeResult&) { respond(responder, 200); });
    vm.back = m_loop.runAt(base::monotonicNow() + base::Milliseconds(m_options.maintenanceMs), [this, id] {
        m_vms.at(id).isUp = true;
        record("up", id);
    });
}

void StandinVms::record(const std::string& event, const std::string& vm)
{
    m_records.append({ { "event", event }, { "vm", vm }, { "atMs", base::wallNow().time_since_epoch().count() } });
}

} // namespace crocuscove::testing
