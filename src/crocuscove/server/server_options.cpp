#include "crocuscove/server/server_options.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/error.h"
#include "crocuscove/base/text.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <random>

namespace crocuscove::server {

namespace {

constexpr std::size_t maxNodes = 64;
constexpr std::size_t maxVoters = 7;
constexpr std::string_view endpointFormat = "a numeric IP address and a port, such as 127.0.0.1:8080";

constexpr auto logLevels = base::enumNames<base::LogLevel>({
    { base::LogLevel::Debug, "debug" },
    { base::LogLevel::Info, "info" },
    { base::LogLevel::Warning, "warning" },
    { base::LogLevel::Error, "error" },
});

void parseRoles(ServerOptions& options, std::string_view text)
{
    options.isEntry = false;
    options.isVoter = false;
    for (const std::string& role : base::split(text, ',')) {
        if (role == "entry") {
            options.isEntry = true;
        } else if (role == "voter") {
            options.isVoter = true;
        } else {
            throw base::InvalidInput("unknown role '" + role + "'");
        }
    }
}

void parsePeers(ServerOptions& options, std::string_view text)
{
    options.peers.clear();
    for (const std::string& peer : base::split(text, ',')) {
        const auto equals = peer.find('=');
        if (equals == std::string::npos) {
            throw base::InvalidInput("'" + peer + "' has no '='");
        }
        const base::NodeId node(peer.substr(0, equals));
        if (!options.peers.emplace(node, base::parseEndpoint(peer.substr(equals + 1))).second) {
            throw base::InvalidInput("node '" + node.text() + "' is listed twice");
        }
    }
    if (options.peers.size() > maxNodes) {
        throw base::InvalidInput(fmt::format("more than {} nodes are listed", maxNodes));
    }
}

void parseVoters(ServerOptions& options, std::string_view text)
{
    options.voters.clear();
    for (const std::string& voter : base::split(text, ',')) {
        options.voters.emplace(voter);
    }
    if (options.voters.size() > maxVoters || options.voters.size() % 2 == 0) {
        throw base::InvalidInput(fmt::format("{} voters are listed", options.voters.size()));
    }
}

base::Setting endpointSetting(const std::string& name, const std::string& help, base::Endpoint& target)
{
    return { name, help + ", default " + target.text(), std::string(endpointFormat),
        [&target](std::string_view value) { target = base::parseEndpoint(value); } };
}

template <typename Id> base::Setting idSetting(const std::string& name, const std::string& help, Id& target)
{
    return { name, help + ", default " + target.text(), std::string(base::idFormat),
        [&target](std::string_view value) { target = Id(std::string(value)); } };
}

void checkConsistency(const ServerOptions& options)
{
    if (!options.isEntry && !options.isVoter) {
        throw base::InvalidInput("--roles: a node needs a role; allowed: entry, voter, entry,voter");
    }
    if (!options.peers.empty() && !options.peers.contains(options.node)) {
        throw base::InvalidInput(
            "--peers: lacks this node '" + options.node.text() + "'; allowed: every node of the cluster");
    }
    if (options.peers.size() > 1 && options.voters.empty()) {
        throw base::InvalidInput("--voters: missing; allowed: the ids of 1, 3, 5 or 7 of the nodes in --peers");
    }
    const auto unknownVoter = std::ranges::find_if(options.voters,
        [&](const base::NodeId& voter) { return !options.peers.empty() && !options.peers.contains(voter); });
    if (unknownVoter != options.voters.end()) {
        throw base::InvalidInput(
            "--voters: '" + unknownVoter->text() + "' is not in --peers; allowed: nodes of --peers");
    }
}

void completeSingleNode(ServerOptions& options)
{
    if (options.peers.empty()) {
        options.peers.emplace(options.node, options.peerListen);
    }
    if (options.voters.empty()) {
        options.voters.insert(options.node);
    }
}

} // namespace

std::vector<base::Setting> serverSettings(ServerOptions& options)
{
    return {
        idSetting("node", "id of this node", options.node),
        idSetting("cluster", "id of the cluster; messages of others are refused", options.cluster),
        idSetting("data-centre", "data centre of this node", options.dataCentre),
        { "roles", "what this node does, default entry,voter", "entry, voter, entry,voter",
            [&options](std::string_view value) { parseRoles(options, value); } },
        { "data-folder", "folder of a voter's durable state, default ./crocuscove-data", "a path that is not empty",
            [&options](std::string_view value) {
                if (value.empty()) {
                    throw base::InvalidInput("the path is empty");
                }
                options.dataFolder = value;
            } },
        endpointSetting("client-listen", "address for clients' requests", options.clientListen),
        endpointSetting("admin-listen", "address for operators and announcements", options.adminListen),
        endpointSetting("peer-listen", "address for other nodes", options.peerListen),
        { "peers", "all nodes of the cluster", "NODE=IP:PORT,... with up to 64 different nodes",
            [&options](std::string_view value) { parsePeers(options, value); } },
        { "voters", "nodes that vote when the cluster is new", "the ids of 1, 3, 5 or 7 nodes, separated by commas",
            [&options](std::string_view value) { parseVoters(options, value); } },
        { "platform", "address of the platform's interface", std::string(endpointFormat),
            [&options](std::string_view value) { options.platform = base::parseEndpoint(value); } },
        { "seed", "seed of the random generator, default a random one", "0 to 9223372036854775807",
            [&options](std::string_view value) {
                options.seed = static_cast<std::uint64_t>(
                    base::parseInteger(value, 0, std::numeric_limits<std::int64_t>::max()));
            } },
        { "log-level", "least severe log lines written, default info", "debug, info, warning, error",
            [&options](std::string_view value) {
                const auto level = logLevels.parse(value);
                if (!level) {
                    throw base::InvalidInput("unknown level");
                }
                options.logLevel = *level;
            } },
    };
}

void completeServerOptions(ServerOptions& options)
{
    checkConsistency(options);
    completeSingleNode(options);
    if (!options.seed) {
        options.seed = std::random_device {}();
    }
}

} // namespace crocuscove::server
