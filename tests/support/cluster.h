#pragma once

#include "crocuscove/base/settings.h"
#include "crocuscove/http/http_client.h"
#include "support/child_process.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crocuscove::testing {

/// The program `crocuscove`, when the test target knows it.
#ifdef CROCUSCOVE_BINARY
inline const std::string crocuscoveProgram = CROCUSCOVE_BINARY;
#endif

/// Returns the path of a stand-in or tool of tests/commands.
#ifdef CROCUSCOVE_STANDIN_FOLDER
inline std::string standinProgram(const std::string& name)
{
    return std::string(CROCUSCOVE_STANDIN_FOLDER) + "/" + name;
}
#endif

/// The real processes of one test, in a folder of their own. Every process is ended and the folder removed at the end;
/// the folder is kept when the test has failed.
class Cluster {
public:
    /// `keepsFolder` is asked at the end, such as `::testing::Test::HasFailure`.
    explicit Cluster(std::function<bool()> keepsFolder = nullptr);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    [[nodiscard]] const std::string& folder() const { return m_folder; }
    [[nodiscard]] std::string path(const std::string& fileName) const { return m_folder + "/" + fileName; }

    /// Starts a program. A process that ran under the same name must have ended; its log is continued.
    ChildProcess& start(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);

    /// Starts a program and waits for its ready line, which `ready` gets.
    ChildProcess& startAndWait(const std::string& name, const std::string& program,
        const std::vector<std::string>& arguments, nlohmann::json& ready);

    [[nodiscard]] ChildProcess& process(const std::string& name) { return *m_processes.at(name); }

    /// Returns a loopback port that was free a moment ago, a different one each time, for programs whose addresses must
    /// be known before they start.
    std::uint16_t freePort();

    /// Sends a request and waits for its result.
    static http::ExchangeResult request(const base::Endpoint& endpoint, const std::string& method,
        const std::string& target, const std::string& body = "", const http::Headers& headers = {});

    /// Returns the JSON body of a GET request, or null when there is no status 200 with JSON.
    static nlohmann::json getJson(const base::Endpoint& endpoint, const std::string& target);

private:
    std::function<bool()> m_keepsFolder;
    std::string m_folder;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
    std::set<std::uint16_t> m_ports;
};

inline base::Endpoint loopback(std::uint16_t port) { return { "127.0.0.1", port }; }

/// Returns "--name=value".
std::string flag(const std::string& name, const std::string& value);
std::string flag(const std::string& name, std::int64_t value);

} // namespace crocuscove::testing
