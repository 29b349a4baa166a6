#include "support/system.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <numeric>

namespace crocuscove::testing {

namespace {

std::string joined(const std::vector<std::string>& parts) { return fmt::format("{}", fmt::join(parts, ",")); }

} // namespace

System::System(Cluster& cluster, SystemOptions options)
    : m_cluster(cluster)
    , m_options(std::move(options))
{
    for (int number = 1; number <= m_options.nodes; ++number) {
        m_nodes.push_back({ fmt::format("n{}", number), loopback(cluster.freePort()), loopback(cluster.freePort()),
            loopback(cluster.freePort()) });
    }
    if (!m_options.vms.is_null()) {
        std::ofstream(cluster.path("vms.json")) << m_options.vms.dump();
        nlohmann::json ready;
        cluster.startAndWait("platform", standinProgram("standin_platform"),
            { flag("vms", cluster.path("vms.json")), flag("reboot-ms", m_options.rebootMs),
                flag("records", cluster.path("platform.jsonl")) },
            ready);
        m_platform = loopback(ready.at("port").get<std::uint16_t>());
        if (m_options.isPlatformSuspended) {
            cluster.process("platform").signal(SIGSTOP);
        }
    }
    for (int number = 1; number <= m_options.nodes; ++number) {
        startNode(number);
    }
}

System::~System()
{
    std::ranges::for_each(m_announcing, [&](const std::string& name) { m_cluster.process(name).kill(); });
}

std::vector<std::string> System::nodeArguments(int number) const
{
    std::vector<std::string> peers;
    std::vector<std::string> voters;
    for (int other = 1; other <= m_options.nodes; ++other) {
        const NodeAddresses& each = node(other);
        const bool isRouted = m_options.peerRoute && other != number;
        peers.push_back(
            each.name + "=" + (isRouted ? m_options.peerRoute(number, other, each.peer) : each.peer).text());
        if (static_cast<int>(voters.size()) < m_options.voters) {
            voters.push_back(each.name);
        }
    }
    const NodeAddresses& own = node(number);
    std::vector<std::string> arguments { "serve", flag("node", own.name), flag("client-listen", own.client.text()),
        flag("admin-listen", own.admin.text()), flag("peer-listen", own.peer.text()), flag("peers", joined(peers)),
        flag("voters", joined(voters)), flag("data-folder", m_cluster.path("data-" + own.name)),
        flag("seed", m_options.seed + number), flag("roles", number <= m_options.voters ? "entry,voter" : "entry") };
    if (m_platform.port != 0) {
        arguments.push_back(flag("platform", m_platform.text()));
    }
    return arguments;
}

void System::startNode(int number) { m_cluster.start(node(number).name, CROCUSCOVE_BINARY, nodeArguments(number)); }

bool System::waitUntilReady()
{
    return waitUntil([&] {
        return std::ranges::all_of(m_nodes, [&](const NodeAddresses& each) {
            return !m_cluster.process(each.name).isRunning()
                || Cluster::request(each.admin, "GET", "/healthz/ready")
                       .response.value_or(http::HttpResponse { 0, {}, "" })
                       .status
                == 200;
        });
    });
}

int System::leader()
{
    for (int number = 1; number <= m_options.nodes; ++number) {
        if (!nodeProcess(number).isRunning()) {
            continue;
        }
        const auto body = status(number);
        for (const auto& entry : body.value("nodes", nlohmann::json::array())) {
            if (entry.at("node") == node(number).name && entry.at("leader") == true) {
                return number;
            }
        }
    }
    return 0;
}

int System::applyAndWait(const std::string& path, int viaNode)
{
    ChildProcess& command = m_cluster.start("apply", CROCUSCOVE_BINARY,
        { "apply", path, "--wait", flag("server", node(viaNode).admin.text()), flag("timeout-ms", 30'000) });
    return command.waitForExit().value_or(-1);
}

http::HttpResponse System::putDocument(int viaNode, const std::string& service, const std::string& text,
    std::uint64_t expectedRevision, const std::string& requestId) const
{
    const http::Headers headers { { { "Crocuscove-Expected-Revision", std::to_string(expectedRevision) },
        { "Crocuscove-Request-Id", requestId } } };
    return Cluster::request(node(viaNode).admin, "PUT", "/v1/documents/" + service, text, headers)
        .response.value_or(http::HttpResponse { 0, {}, "" });
}

bool System::waitUntilInForce(const std::string& service, std::uint64_t revision) const
{
    return waitUntil([&] {
        return std::ranges::all_of(m_nodes, [&](const NodeAddresses& each) {
            const auto body = Cluster::getJson(each.admin, "/v1/documents/" + service + "/rollout");
            return !body.is_null() && body.at("revision") == revision && body.at("nodes").size() == m_nodes.size()
                && std::ranges::all_of(body.at("nodes"),
                    [&](const auto& entry) { return entry.at("inForce") == true && entry.at("revision") == revision; });
        });
    });
}

std::vector<std::string> System::history(const std::string& service, int viaNode) const
{
    const auto body = Cluster::getJson(node(viaNode).admin, "/v1/documents/" + service + "/history");
    std::vector<std::string> ids;
    if (!body.is_null()) {
        std::ranges::transform(body.at("revisions"), std::back_inserter(ids),
            [](const auto& revision) { return revision.at("requestId").template get<std::string>(); });
    }
    return ids;
}

std::string System::adminList() const
{
    std::vector<std::string> admins;
    std::ranges::transform(
        m_nodes, std::back_inserter(admins), [](const NodeAddresses& each) { return each.admin.text(); });
    return joined(admins);
}

ChildProcess& System::startBackend(
    const std::string& service, int number, const std::vector<std::string>& moreArguments)
{
    const std::string name = fmt::format("{}-{}", service, number);
    const std::string records = m_cluster.path("runs-" + name + ".jsonl");
    if (std::ranges::find(m_backendRecords, records) == m_backendRecords.end()) {
        m_backendRecords.push_back(records);
        m_backendNames.push_back(name);
    }
    m_announcing.insert(name);
    // Each backend server begins with another node, so that announcements arrive everywhere.
    std::vector<std::string> admins;
    admins.reserve(m_nodes.size());
    for (int i = 0; i < m_options.nodes; ++i) {
        admins.push_back(node((number + i) % m_options.nodes + 1).admin.text());
    }
    std::vector<std::string> arguments { flag("service", service), flag("backend", name),
        flag("vm", fmt::format("vm-{}", number)), flag("rack", fmt::format("rack-{}", (number + 3) / 4)),
        flag("admin", joined(admins)), flag("records", records) };
    std::ranges::copy(moreArguments, std::back_inserter(arguments));
    nlohmann::json ready;
    return m_cluster.startAndWait(name, standinProgram("standin_backend"), arguments, ready);
}

void System::killBackends()
{
    std::ranges::for_each(m_backendNames, [this](const std::string& name) { m_cluster.process(name).kill(); });
}

ChildProcess& System::startWorker(int number, const std::vector<std::string>& moreArguments)
{
    const std::string name = fmt::format("worker-{}", number);
    m_announcing.insert(name);
    std::vector<std::string> arguments { flag("worker", name), flag("vm", fmt::format("vm-w{}", number)),
        flag("admin", adminList()), flag("records", m_cluster.path("starts-" + name + ".jsonl")) };
    std::ranges::copy(moreArguments, std::back_inserter(arguments));
    return m_cluster.start(name, standinProgram("standin_worker"), arguments);
}

ChildProcess& System::startLoad(const std::string& name, std::vector<std::string> arguments, std::vector<int> entries)
{
    if (entries.empty()) {
        entries.resize(m_nodes.size());
        std::iota(entries.begin(), entries.end(), 1);
    }
    std::vector<std::string> targets;
    std::ranges::transform(
        entries, std::back_inserter(targets), [&](int number) { return node(number).client.text(); });
    arguments.push_back(flag("target", joined(targets)));
    arguments.push_back(flag("records", m_cluster.path(name + ".jsonl")));
    return m_cluster.start(name, standinProgram("load_generator"), arguments);
}

nlohmann::json System::checkAnswers(const std::vector<std::string>& loads)
{
    std::vector<std::string> answers;
    std::ranges::transform(
        loads, std::back_inserter(answers), [&](const std::string& name) { return m_cluster.path(name + ".jsonl"); });
    ChildProcess& checker = m_cluster.start("checker", standinProgram("answer_checker"),
        { flag("answers", joined(answers)), flag("runs", joined(m_backendRecords)), flag("slots", 8) });
    checker.waitForExit();
    const auto lines = checker.outputLines();
    return lines.empty() ? nlohmann::json { { "violations", -1 }, { "error", checker.errorText() } } : lines.back();
}

std::string System::vmField(const std::string& vm, const char* field, int viaNode) const
{
    const auto body = status(viaNode);
    for (const auto& entry : body.value("vms", nlohmann::json::array())) {
        if (entry.at("vm") == vm) {
            return entry.at(field).get<std::string>();
        }
    }
    return "";
}

std::string System::vmPhase(const std::string& vm, int viaNode) const { return vmField(vm, "phase", viaNode); }

std::string System::vmPool(const std::string& vm, int viaNode) const { return vmField(vm, "pool", viaNode); }

int System::inService(const std::string& service, int viaNode) const
{
    const auto body = status(viaNode);
    for (const auto& entry : body.value("services", nlohmann::json::array())) {
        if (entry.at("service") == service) {
            return entry.at("inService").get<int>();
        }
    }
    return -1;
}

bool System::waitForAnswer(const std::string& path, int viaNode)
{
    return waitUntil([&] {
        const auto result = Cluster::request(node(viaNode).client, "GET", path);
        return result.response && result.response->headers.get("Crocuscove-Outcome") == "executed";
    });
}

} // namespace crocuscove::testing
