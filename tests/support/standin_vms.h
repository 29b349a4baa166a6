#pragma once

#include "crocuscove/base/settings.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/http/http_client.h"
#include "crocuscove/http/http_server.h"
#include "support/json_lines.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocuscove::testing {

struct StandinVmsOptions {
    base::Endpoint listen { "127.0.0.1", 0 };
    /// VMs as VM=WORKER@HOST:PORT, all in one pool.
    std::vector<std::string> vms;
    std::string pool = "pool";
    /// How long a VM is away for its maintenance.
    std::int64_t maintenanceMs = 500;
    /// Every order is confirmed as carried out before, and nothing happens.
    bool isAlreadyDone = false;
    /// A VM that every other list leaves out; empty for none.
    std::string leftOut;
    /// A VM whose first order is carried out late and not answered; empty for none.
    std::string lateVm;
    std::int64_t lateMs = 3'000;
    /// How long a VM is still listed as up with its earlier worker after its order was confirmed.
    std::int64_t staleMs = 0;
    /// The list holds entries of another writer.
    bool hasOddEntries = false;
    /// File that gets a JSON line for each order and return of a VM.
    std::string recordsFile;
};

/// The interface for VMs of the users' platform, by code of its own. Maintenance restarts the stand-in worker of a VM
/// under another id.
class StandinVms {
public:
    /// Throws base::Error for a VM that can't be read.
    StandinVms(http::EventLoop& loop, StandinVmsOptions options);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    struct Vm {
        std::string worker;
        base::Endpoint address;
        bool isUp = true;
        /// Its worker before the maintenance, which is listed until then.
        std::string earlierWorker;
        base::MonotonicTime staleUntil;
        http::Timer back;
    };

    void handle(const http::HttpRequest& request, const http::Responder& responder);
    void list(const http::Responder& responder);
    void maintain(const nlohmann::json& body, const http::Responder& responder);
    void record(const std::string& event, const std::string& vm);

    http::EventLoop& m_loop;
    StandinVmsOptions m_options;
    JsonLinesFile m_records;
    std::map<std::string, Vm> m_vms;
    std::uint64_t m_lists = 0;
    bool m_wasLate = false;
    http::Timer m_lateOrder;
    http::HttpClient m_client;
    http::HttpServer m_server;
};

} // namespace crocuscove::testing
