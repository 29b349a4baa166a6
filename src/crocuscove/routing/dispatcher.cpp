#include "crocuscove/routing/dispatcher_core.h"

#include <algorithm>
#include <iterator>

namespace crocuscove::routing {

Dispatcher::Dispatcher(document::ServiceDocument document, DispatcherOptions options, base::Random random)
    : m_core(std::make_unique<Core>(std::move(document), std::move(options), random))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

Actions Dispatcher::arrive(base::MonotonicTime now, const Request& request)
{
    m_core->arrive(now, request);
    return m_core->advance(now);
}

Actions Dispatcher::finish(base::MonotonicTime now, const AttemptResult& result)
{
    m_core->finish(now, result);
    return m_core->advance(now);
}

Actions Dispatcher::cancel(base::MonotonicTime now, RequestId request)
{
    m_core->cancel(now, request);
    return m_core->advance(now);
}

Actions Dispatcher::updateDocument(base::MonotonicTime now, document::ServiceDocument document)
{
    m_core->updateDocument(std::move(document));
    return m_core->advance(now);
}

Actions Dispatcher::updateBackends(base::MonotonicTime now, const std::vector<BackendView>& backends)
{
    m_core->pool().updateBackends(now, backends);
    return m_core->advance(now);
}

Actions Dispatcher::updateSlots(base::MonotonicTime now, const std::vector<SlotLimit>& limits)
{
    m_core->pool().updateSlots(now, limits);
    return m_core->advance(now);
}

Actions Dispatcher::tick(base::MonotonicTime now) { return m_core->advance(now); }

std::optional<base::MonotonicTime> Dispatcher::nextDeadline() const { return m_core->nextDeadline(); }

std::size_t Dispatcher::queued() const { return m_core->queued(); }

std::size_t Dispatcher::inFlight() const { return m_core->inFlight(); }

std::vector<BackendUsage> Dispatcher::usage() const { return m_core->pool().usage(); }

std::vector<SlotLimit> fixedSplit(const std::vector<BackendView>& backends, std::size_t entryNodes)
{
    std::vector<SlotLimit> limits;
    std::ranges::transform(backends, std::back_inserter(limits), [&](const auto& view) {
        return SlotLimit { view.backend,
            static_cast<std::uint32_t>(view.slots / std::max<std::size_t>(entryNodes, 1)) };
    });
    return limits;
}

} // namespace crocuscove::routing
