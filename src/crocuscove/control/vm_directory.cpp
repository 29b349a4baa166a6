#include "vm_directory.h"

#include "platform/json_fields.h"

#include <algorithm>
#include <utility>

namespace crocuscove::control {

namespace {

/// Each reading is paid for; a VM that moves or is maintained is away for 1.5 s or more.
constexpr base::Milliseconds readInterval { 500 };
constexpr base::Milliseconds pageTimeout { 2'000 };
/// The whole list, of some hundred pages.
constexpr base::Milliseconds readTimeout { 10'000 };
constexpr std::size_t maxPages = 2'000;

} // namespace

void VmDirectory::refresh(base::MonotonicTime now)
{
    if (m_isReading || (m_startedAt && now - *m_startedAt < readInterval)) {
        return;
    }
    m_isReading = true;
    m_startedAt = now;
    readPage("", std::make_shared<Reading>(Reading { {}, {}, now + readTimeout }));
}

void VmDirectory::readPage(const std::string& page, const std::shared_ptr<Reading>& reading)
{
    const auto now = base::monotonicNow();
    const bool isRepeated = !reading->pages.insert(page).second;
    if (isRepeated || reading->pages.size() > maxPages || now >= reading->deadline) {
        m_isReading = false;
        m_log.warning("vm_list_endless", { { "pages", reading->pages.size() }, { "vms", reading->vms.size() } });
        return;
    }
    m_client.call(m_interface, platform::listVmsRequest(page), std::min(now + pageTimeout, reading->deadline),
        [this, reading](const http::ExchangeResult& result) { onPage(result, reading); });
}

void VmDirectory::onPage(const http::ExchangeResult& result, const std::shared_ptr<Reading>& reading)
{
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
        if (!part.nextPage.empty()) {
            readPage(part.nextPage, reading);
            return;
        }
        m_vms = std::move(reading->vms);
        m_askedAt = m_startedAt;
    } catch (const platform::MalformedMessage& error) {
        m_log.warning("vm_list_malformed", { { "cause", error.what() } });
    }
    m_isReading = false;
}

} // namespace crocuscove::control
