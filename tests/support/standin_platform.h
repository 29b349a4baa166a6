#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/http/http_server.h"
#include "support/json_lines.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocuscove::testing {

struct PlatformVm {
    std::string vm;
    std::string dataCentre;
    std::string rack;
    std::string state = "running";
    std::int64_t boots = 1;
    std::int64_t cores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    /// When the VM was last maintained, if the platform is to tell it.
    std::optional<std::int64_t> maintainedAtMs {};
};

/// Parses a JSON list of VMs: {"vm","dataCentre","rack"} and optionally "cores", "memoryMb", "accelerators",
/// "maintainedAtMs".
std::vector<PlatformVm> parsePlatformVms(const nlohmann::json& json);

struct StandinPlatformOptions {
    base::Endpoint listen { "127.0.0.1", 0 };
    std::vector<PlatformVm> vms;
    std::int64_t rebootMs = 1000;
    /// VMs that a reboot or replacement leaves off.
    std::vector<std::string> neverReturning;
    std::string recordsFile;
};

/// The platform interface (docs/design.md, section 11). An operation id is carried out once; a call with an epoch below
/// the highest one seen is refused with 409, and so is an operation id used again for something else.
///
/// `PUT /standin/vms/{vm}?state=running|off` changes a VM from outside, such as a failure.
class StandinPlatform {
public:
    StandinPlatform(http::EventLoop& loop, const base::Log& log, const StandinPlatformOptions& options);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    struct Operation {
        std::string verb;
        std::string vm;
    };

    void handle(const http::HttpRequest& request, const http::Responder& responder);
    [[nodiscard]] http::HttpResponse answer(const http::HttpRequest& request);
    [[nodiscard]] http::HttpResponse listVms() const;
    [[nodiscard]] http::HttpResponse command(
        const std::string& vm, const std::string& verb, const nlohmann::json& body);
    [[nodiscard]] http::HttpResponse changeState(const std::string& vm, const http::HttpRequest& request);
    void restart(PlatformVm& vm);

    http::EventLoop& m_loop;
    const base::Log& m_log;
    StandinPlatformOptions m_options;
    std::map<std::string, PlatformVm> m_vms;
    std::map<std::string, http::Timer> m_restarts;
    std::map<std::string, Operation> m_operations;
    std::int64_t m_highestEpoch = 0;
    JsonLinesFile m_records;
    http::HttpServer m_server;
};

} // namespace crocuscove::testing
