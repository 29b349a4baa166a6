#include "crocuscove/document/document_reader.h"
#include "crocuscove/document/section_readers.h"

#include <algorithm>
#include <iterator>

namespace crocuscove::document {

namespace {

template <typename T> std::vector<T> valuesOf(const std::vector<Located<T>>& items)
{
    std::vector<T> values;
    std::ranges::transform(items, std::back_inserter(values), &Located<T>::value);
    return values;
}

base::ServiceId readService(const Field& field, ProblemList& problems)
{
    const auto service = readId<base::ServiceId>(field, problems);
    if (service && service->text() == "fleet") {
        problems.add(field.place, field.path, "'fleet' names the fleet document", "another id");
    }
    return service.value_or(base::ServiceId());
}

std::optional<PoolSection> readWholePool(const std::optional<Field>& field, ProblemList& problems)
{
    const std::size_t before = problems.size();
    const auto pool = readIfPresent(field, [&](const Field& f) { return std::optional(readPool(f, problems)); });
    return problems.size() == before ? pool : std::nullopt;
}

} // namespace

ServiceDocument readServiceDocument(MapReader& root, ProblemList& problems)
{
    ServiceDocument document;
    if (const auto field = root.required("service")) {
        document.service = readService(*field, problems);
    }
    if (const auto field = root.required("team")) {
        document.team = readId<base::TeamId>(*field, problems).value_or(base::TeamId());
    }
    const auto pool = readWholePool(root.required("pool"), problems);
    document.pool = pool.value_or(PoolSection());
    if (const auto field = root.required("availability")) {
        document.minAvailablePercent = readAvailability(*field, pool, problems);
    }
    const auto routes = readIfPresent(root.required("routes"), [&](const Field& f) { return readRoutes(f, problems); });
    const auto requests
        = readIfPresent(root.required("requests"), [&](const Field& f) { return readRequests(f, problems); });
    if (!routes.empty()) {
        checkReachability(routes, requests, problems);
    }
    document.routes = valuesOf(routes);
    document.requests = valuesOf(requests);
    if (const auto field = root.optional("limits")) {
        document.limits = readLimits(*field, problems);
    }
    if (const auto field = root.optional("queue")) {
        document.queue = readQueue(*field, problems);
    }
    if (const auto field = root.optional("jobs")) {
        document.jobs = readJobs(*field, problems);
    }
    return document;
}

} // namespace crocuscove::document
