#include "crocuscove/jobs/configuration.h"

#include <algorithm>

namespace crocuscove::jobs {

const Queue* Configuration::match(std::string_view host, std::string_view path) const
{
    const Queue* best = nullptr;
    for (const Queue& queue : queues) {
        const bool fits = queue.host == host && path.starts_with(queue.pathPrefix);
        if (fits && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const Queue* Configuration::findQueue(std::string_view name) const
{
    const auto queue = std::ranges::find(queues, name, &Queue::name);
    return queue == queues.end() ? nullptr : &*queue;
}

const Queue* Configuration::findQueueAt(const QueueUrl& url) const
{
    const auto queue = std::ranges::find(queues, url, &Queue::url);
    return queue == queues.end() ? nullptr : &*queue;
}

const Service* Configuration::findService(std::string_view name) const
{
    const auto service = std::ranges::find(services, name, &Service::name);
    return service == services.end() ? nullptr : &*service;
}

} // namespace crocuscove::jobs
