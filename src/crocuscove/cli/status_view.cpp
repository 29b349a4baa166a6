#include "crocuscove/cli/status_view.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace crocuscove::cli {

namespace {

constexpr std::string_view servingPhase = "serving";

/// The reasons that the server gives for a service, and the VMs of its pool that don't serve.
std::vector<std::string> reasonsOf(const ServiceComparison& comparison, const FleetStatus& status)
{
    std::vector<std::string> reasons;
    if (comparison.fleet) {
        reasons = comparison.fleet->reasons;
    }
    if (comparison.document && comparison.document->content) {
        const std::string& pool = comparison.document->content->pool.name.text();
        for (const VmStatus& vm : status.vms) {
            if (vm.pool == pool && vm.phase != servingPhase) {
                reasons.push_back(fmt::format("{} {}{}{}", vm.vm, vm.phase, vm.reason.empty() ? "" : ": ", vm.reason));
            }
        }
    }
    if (reasons.empty()) {
        reasons.emplace_back("no reason reported");
    }
    return reasons;
}

std::uint64_t requiredInService(std::uint64_t wanted, double minAvailablePercent)
{
    constexpr double roundingTolerance = 1e-9;
    return static_cast<std::uint64_t>(
        std::ceil(static_cast<double>(wanted) * minAvailablePercent / 100.0 - roundingTolerance));
}

std::vector<std::string> compareContent(const document::ServiceDocument& document, const ServiceStatus& fleet)
{
    std::vector<std::string> differences;
    const document::ExecutorRange& range = document.pool.executors;
    if (fleet.wanted < range.minimum || fleet.wanted > range.maximum) {
        differences.push_back(fmt::format(
            "{} executors wanted, the document allows {} to {}", fleet.wanted, range.minimum, range.maximum));
    }
    const std::uint64_t required = requiredInService(fleet.wanted, document.minAvailablePercent);
    if (fleet.inService < required) {
        differences.push_back(
            fmt::format("{} of {} executors in service, below the {} that the availability budget keeps",
                fleet.inService, fleet.wanted, required));
    } else if (fleet.inService < fleet.wanted) {
        differences.push_back(fmt::format("{} of {} executors in service", fleet.inService, fleet.wanted));
    }
    if (fleet.inService > range.maximum) {
        differences.push_back(
            fmt::format("{} executors in service, above the maximum {}", fleet.inService, range.maximum));
    }
    return differences;
}

std::vector<std::string> findDifferences(const ServiceComparison& comparison)
{
    if (!comparison.document) {
        return { "the fleet runs a service without a document" };
    }
    if (!comparison.fleet) {
        return { "the fleet reports no state" };
    }
    std::vector<std::string> differences;
    if (comparison.document->revision != comparison.fleet->revision) {
        differences.push_back(fmt::format("revision {} accepted, revision {} in force on this node",
            comparison.document->revision, comparison.fleet->revision));
    }
    if (!comparison.document->content) {
        differences.emplace_back("the document can't be read");
        return differences;
    }
    const auto others = compareContent(*comparison.document->content, *comparison.fleet);
    differences.insert(differences.end(), others.begin(), others.end());
    return differences;
}

std::string documentCell(const std::optional<DocumentSide>& document)
{
    if (!document) {
        return "none";
    }
    std::string text = fmt::format("revision {}", document->revision);
    if (document->content) {
        const document::ExecutorRange& range = document->content->pool.executors;
        text += fmt::format(
            ", {}-{} executors, {}% available", range.minimum, range.maximum, document->content->minAvailablePercent);
    }
    return text;
}

std::string fleetCell(const std::optional<ServiceStatus>& fleet)
{
    return fleet ? fmt::format("revision {}, {} of {} in service", fleet->revision, fleet->inService, fleet->wanted)
                 : "none";
}

std::string formatDifferences(const std::vector<ServiceComparison>& services)
{
    std::string text;
    for (const ServiceComparison& service : services) {
        for (const Difference& difference : service.differences) {
            text += printable(fmt::format("{}: {}", service.service, difference.text)) + "\n";
            for (const std::string& reason : difference.reasons) {
                text += "  because: " + printable(reason) + "\n";
            }
        }
    }
    return text.empty() ? "the fleet matches every document\n" : text;
}

std::string formatNodes(const std::vector<NodeStatus>& nodes)
{
    std::vector<std::vector<std::string>> rows { { "NODE", "ROLE", "LEADER", "APPLIED", "READY" } };
    for (const NodeStatus& node : nodes) {
        rows.push_back(
            { node.node, node.role, node.leader, std::to_string(node.applied), node.isReady ? "yes" : "no" });
    }
    return formatTable(rows);
}

std::string formatVms(const std::vector<VmStatus>& vms)
{
    std::vector<std::vector<std::string>> rows { { "VM NOT SERVING", "POOL", "PHASE", "REASON" } };
    for (const VmStatus& vm : vms) {
        if (vm.phase != servingPhase) {
            rows.push_back({ vm.vm, vm.pool, vm.phase, vm.reason });
        }
    }
    return rows.size() > 1 ? "\n" + formatTable(rows) : "";
}

std::string formatMaintenance(const JsonValue& maintenance)
{
    std::string text;
    for (const auto& [key, value] : maintenance.items()) {
        const std::string shown = value.is_string() ? value.get<std::string>()
                                                    : value.dump(-1, ' ', false, JsonValue::error_handler_t::replace);
        text += printable(fmt::format("  {}: {}", key, shown)) + "\n";
    }
    return text.empty() ? "" : "\nmaintenance\n" + text;
}

JsonValue serviceToJson(const ServiceComparison& service)
{
    JsonValue document;
    if (service.document) {
        document["revision"] = service.document->revision;
        if (const auto& content = service.document->content) {
            document["min"] = content->pool.executors.minimum;
            document["max"] = content->pool.executors.maximum;
            document["spare"] = content->pool.executors.spare;
            document["minAvailablePercent"] = content->minAvailablePercent;
        }
    }
    JsonValue fleet;
    if (service.fleet) {
        fleet = { { "revision", service.fleet->revision }, { "wanted", service.fleet->wanted },
            { "inService", service.fleet->inService } };
    }
    JsonValue differences = JsonValue::array();
    for (const Difference& difference : service.differences) {
        differences.push_back({ { "difference", difference.text }, { "reasons", difference.reasons } });
    }
    return { { "service", service.service }, { "document", document }, { "fleet", fleet },
        { "differences", differences } };
}

} // namespace

std::vector<ServiceComparison> compareServices(
    const std::map<std::string, DocumentSide>& documents, const FleetStatus& status)
{
    std::map<std::string, ServiceComparison> services;
    for (const auto& [name, document] : documents) {
        services[name].document = document;
    }
    for (const ServiceStatus& fleet : status.services) {
        services[fleet.service].fleet = fleet;
    }
    std::vector<ServiceComparison> result;
    for (auto& [name, comparison] : services) {
        comparison.service = name;
        for (const std::string& text : findDifferences(comparison)) {
            comparison.differences.push_back({ text, reasonsOf(comparison, status) });
        }
        result.push_back(std::move(comparison));
    }
    return result;
}

std::string formatStatus(const std::vector<ServiceComparison>& services, const FleetStatus& status)
{
    std::vector<std::vector<std::string>> rows { { "SERVICE", "DOCUMENT", "FLEET" } };
    for (const ServiceComparison& service : services) {
        rows.push_back({ service.service, documentCell(service.document), fleetCell(service.fleet) });
    }
    return formatTable(rows) + "\n" + formatDifferences(services) + "\n" + formatNodes(status.nodes)
        + formatVms(status.vms) + formatMaintenance(status.maintenance);
}

JsonValue statusToJson(const std::vector<ServiceComparison>& services, const FleetStatus& status)
{
    JsonValue serviceList = JsonValue::array();
    std::ranges::for_each(services, [&](const ServiceComparison& s) { serviceList.push_back(serviceToJson(s)); });
    JsonValue nodes = JsonValue::array();
    for (const NodeStatus& node : status.nodes) {
        nodes.push_back({ { "node", node.node }, { "role", node.role }, { "leader", node.leader },
            { "applied", node.applied }, { "ready", node.isReady } });
    }
    JsonValue vms = JsonValue::array();
    for (const VmStatus& vm : status.vms) {
        vms.push_back({ { "vm", vm.vm }, { "pool", vm.pool }, { "phase", vm.phase }, { "reason", vm.reason } });
    }
    return { { "services", serviceList }, { "nodes", nodes }, { "vms", vms }, { "maintenance", status.maintenance } };
}

} // namespace crocuscove::cli
