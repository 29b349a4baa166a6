#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/base/log.h"
#include "crocuscove/base/settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuscove::server {

/// Settings of a node. The defaults run a single node on loopback.
struct ServerOptions {
    base::NodeId node { "n1" };
    base::ClusterId cluster { "local" };
    base::DataCentreId dataCentre { "dc-1" };
    bool isEntry = true;
    bool isVoter = true;
    std::string dataFolder = "./crocuscove-data";
    base::Endpoint clientListen { "127.0.0.1", 8080 };
    base::Endpoint adminListen { "127.0.0.1", 8081 };
    base::Endpoint peerListen { "127.0.0.1", 8082 };
    /// All nodes, this one included. Empty for a single node.
    std::map<base::NodeId, base::Endpoint> peers;
    /// The nodes that vote in a new cluster. Empty for a single node.
    std::set<base::NodeId> voters;
    std::optional<base::Endpoint> platform;
    /// Seed of all randomness of the node. A random one when absent.
    std::optional<std::uint64_t> seed;
    base::LogLevel logLevel = base::LogLevel::Info;
};

/// The settings of `serve`, which write into `options`.
std::vector<base::Setting> serverSettings(ServerOptions& options);

/// Checks the settings that depend on each other and fills in those of a single node. Throws base::InvalidInput.
void completeServerOptions(ServerOptions& options);

} // namespace crocuscove::server
