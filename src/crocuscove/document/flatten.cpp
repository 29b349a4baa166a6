#include "crocuscove/document/flatten.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>

namespace crocuscove::document {

namespace {

class Flattener {
public:
    template <typename T> void add(std::string field, const T& value)
    {
        m_fields.push_back({ std::move(field), fmt::format("{}", value) });
    }

    std::vector<FlatField> take() { return std::move(m_fields); }

private:
    std::vector<FlatField> m_fields;
};

void addPool(const PoolSection& pool, Flattener& fields)
{
    fields.add("pool.name", pool.name.text());
    fields.add("pool.executors.min", pool.executors.minimum);
    fields.add("pool.executors.max", pool.executors.maximum);
    fields.add("pool.executors.spare", pool.executors.spare);
    fields.add("pool.slotsPerExecutor", pool.slotsPerExecutor);
    fields.add("pool.connectionsPerExecutor", pool.connectionsPerExecutor);
    fields.add("pool.failureDomain", failureDomainName(pool.failureDomain));
}

void addRequest(const RequestKind& request, Flattener& fields)
{
    const std::string prefix = fmt::format("requests[{}].", request.name);
    if (request.method) {
        fields.add(prefix + "method", *request.method);
    }
    fields.add(prefix + "pathPrefix", request.pathPrefix);
    fields.add(prefix + "class", workClassName(request.workClass));
    fields.add(prefix + "deadlineMs", request.deadline.count());
    fields.add(prefix + "idempotent", request.isIdempotent);
}

void addJobs(const JobsSection& jobs, Flattener& fields)
{
    fields.add("jobs.pool", jobs.pool.text());
    fields.add("jobs.share", jobs.share);
    fields.add("jobs.quota.cores", jobs.quota.cores);
    fields.add("jobs.quota.memoryMb", jobs.quota.memoryMb);
    fields.add("jobs.quota.accelerators", jobs.quota.accelerators);
}

void addDocument(const ServiceDocument& document, Flattener& fields)
{
    fields.add("service", document.service.text());
    fields.add("team", document.team.text());
    addPool(document.pool, fields);
    fields.add("availability.minAvailablePercent", document.minAvailablePercent);
    for (const Route& route : document.routes) {
        const std::string place = route.host.value_or("") + route.pathPrefix;
        fields.add(fmt::format("routes[{}]", place), place);
    }
    std::ranges::for_each(document.requests, [&](const RequestKind& request) { addRequest(request, fields); });
    fields.add("limits.maxBodyBytes", document.limits.maxBodyBytes);
    fields.add("limits.maxQueued", document.limits.maxQueued);
    fields.add("limits.maxInFlightPerClient", document.limits.maxInFlightPerClient);
    fields.add("queue.share", document.queue.defaultShare);
    for (const auto& [client, share] : document.queue.clientShares) {
        fields.add("queue.clientShares." + client.text(), share);
    }
    if (document.jobs) {
        addJobs(*document.jobs, fields);
    }
}

void addDocument(const FleetDocument& document, Flattener& fields)
{
    std::vector<std::string> dataCentres;
    std::ranges::transform(document.dataCentres, std::back_inserter(dataCentres), &base::DataCentreId::text);
    fields.add("dataCentres", fmt::format("{}", fmt::join(dataCentres, ", ")));
    fields.add("sparePool", document.sparePool.text());
    fields.add("maintenancePeriodHours", document.maintenancePeriod.count());
    fields.add("weights.shortWait", document.weights.shortWait);
    fields.add("weights.bufferCost", document.weights.bufferCost);
    fields.add("weights.rolloutTime", document.weights.rolloutTime);
    fields.add("weights.moves", document.weights.moves);
}

} // namespace

std::vector<FlatField> flatten(const Document& document)
{
    Flattener fields;
    fields.add("kind", std::holds_alternative<ServiceDocument>(document) ? "service" : "fleet");
    std::visit([&](const auto& content) { addDocument(content, fields); }, document);
    return fields.take();
}

} // namespace crocuscove::document
