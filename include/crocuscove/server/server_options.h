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

/// Settings of a node. The defaults run a single-node cluster on the loopback interface.
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
    /// Addresses of all nodes, this one included. Empty for a single node.
    std::map<base::NodeId, base::Endpoint> peers;
    /// The nodes that vote in a new cluster. Empty for a single node.
    std::set<base::NodeId> voters;
    std::optional<base::Endpoint> platform;
    /// Seed of the node's random generator. When absent, completeServerOptions chooses a random one.
    std::optional<std::uint64_t> seed;
    base::LogLevel logLevel = base::LogLevel::Info;
};

/// Returns the settings of the `serve` command. They write into `options`, which must outlive them.
std::vector<base::Setting> serverSettings(ServerOptions& options);

/// Checks settings that depend on each other and fills in the seed and the peers and voters of a single node. Throws
/// base::InvalidInput when settings contradict each other.
void completeServerOptions(ServerOptions& options);

} // namespace crocuscove::server
