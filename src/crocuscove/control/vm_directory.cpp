#include "vm_directory.h"

#include "platform/json_fields.h"

#include <algorithm>
#include <utility>

namespace crocuscove::control {

namespace {

/// Each reading is paid for; a VM that moves or is maintained is away for 1.5 s or more.
constexpr base::Milliseconds readInterval { 500 };
constexpr base::Milliseconds readTimeout { 2'000 };
/// Pages of one list; a list that goes on beyond has no end.
constexpr std::size_t maxPages = 2'000;

} // namespace

void VmDirectory::refresh(base::MonotonicTime now)
{
    if (m_isReading || (m_startedAt && now - *m_startedAt < readInterval)) {
        return;
    }
    m_isReading = true;
    m_startedAt = now;
    readPage("", std::make_shared<Reading>());
}

void VmDirectory::readPage(const std::string& page, const std::shared_ptr<Reading>& reading)
{
    m_client.call(m_interface, platform::listVmsRequest(page), base::monotonicNow() + readTimeout,
        [this, page, reading](const http::ExchangeResult& result) {
            if (!result.response || result.response->status != 200) {
                m_isReading = false;
                m_log.warning("vm_list_failed",
                    { { "status", result.response ? result.response->status : 0 },
                        { "failure", http::exchangeFailureName(result.failure) } });
                return;
            }
            try {
                platform::VmPage part = platform::decodeVmPage(result.response->body);
                if (part.malformedEntries > 0) {
                    m_log.warning("vm_entries_malformed", { { "count", part.malformedEntries } });
                }
                std::ranges::for_each(part.vms, [&](platform::Vm& vm) {
                    const std::string id = vm.id;
                    reading->vms.insert_or_assign(id, std::move(vm));
                });
                const bool isEndless = part.nextPage == page || ++reading->pages >= maxPages;
                if (!part.nextPage.empty() && !isEndless) {
                    readPage(part.nextPage, reading);
                    return;
                }
                if (part.nextPage.empty()) {
                    m_vms = std::move(reading->vms);
                    m_askedAt = m_startedAt;
                } else {
                    m_log.warning("vm_list_endless", { { "pages", reading->pages } });
                }
            } catch (const platform::MalformedMessage& error) {
                m_log.warning("vm_list_malformed", { { "cause", error.what() } });
            }
            m_isReading = false;
        });
}

} // namespace crocuscove::control
