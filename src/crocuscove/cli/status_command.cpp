#include "crocuscove/cli/commands.h"
#include "crocuscove/cli/status_view.h"

#include <fmt/format.h>

#include <thread>

namespace crocuscove::cli {

namespace {

constexpr std::int64_t maxIntervalMs = 3600000; // 1 h
constexpr std::uint64_t defaultIntervalMs = 1000;
constexpr std::string_view clearScreen = "\033[H\033[2J";

CommandSpec spec()
{
    return { "status", {}, "Shows documents and fleet side by side, with the reason of each difference." };
}

/// Keeps the documents between repetitions, and fetches only those with a new revision.
class DocumentCache {
public:
    void refresh(const ServerOptions& options)
    {
        std::map<std::string, DocumentSide> fresh;
        for (const DocumentSummary& summary : fetchDocumentList(options)) {
            if (summary.service != "fleet") {
                fresh[summary.service] = take(options, summary);
            }
        }
        m_documents = std::move(fresh);
    }

    [[nodiscard]] const std::map<std::string, DocumentSide>& documents() const { return m_documents; }

private:
    DocumentSide take(const ServerOptions& options, const DocumentSummary& summary)
    {
        const auto known = m_documents.find(summary.service);
        if (known != m_documents.end() && known->second.revision == summary.revision && known->second.content) {
            return known->second;
        }
        DocumentSide side { summary.revision, std::nullopt };
        const auto stored = fetchDocument(options, base::ServiceId(summary.service), summary.revision);
        if (!stored) {
            return side;
        }
        const auto result = document::parseDocument(stored->text, summary.service);
        if (result.document && std::holds_alternative<document::ServiceDocument>(*result.document)) {
            side.content = std::get<document::ServiceDocument>(*result.document);
        }
        return side;
    }

    std::map<std::string, DocumentSide> m_documents;
};

void showOnce(const ServerOptions& options, DocumentCache& cache, Console& console)
{
    cache.refresh(options);
    const FleetStatus status = fetchStatus(options);
    const auto services = compareServices(cache.documents(), status);
    if (console.isJson()) {
        console.writeJson(statusToJson(services, status));
    } else {
        console.write(formatStatus(services, status));
    }
}

/// Repeats until told to stop or until nobody reads the output. A failed call is noted and tried again.
void watch(const ServerOptions& options, base::Milliseconds interval, Console& console)
{
    DocumentCache cache;
    const Surroundings& surroundings = console.surroundings();
    for (bool isFirst = true; surroundings.out.good(); isFirst = false) {
        if (!isFirst) {
            if (surroundings.keepWatching && !surroundings.keepWatching()) {
                return;
            }
            std::this_thread::sleep_for(interval);
        }
        if (!console.isJson()) {
            console.write(surroundings.isTerminal ? clearScreen : (isFirst ? "" : "\n"));
        }
        try {
            showOnce(options, cache, console);
        } catch (const CommandError& error) {
            console.note(std::string("crocuscove: ") + error.what());
        }
    }
}

ExitCode run(const Arguments& arguments, Console& console)
{
    ServerOptions options;
    bool isWatching = false;
    std::optional<std::uint64_t> interval;
    std::vector<base::Setting> settings = serverSettings(options, console);
    settings.push_back(switchSetting("watch", "repeat until interrupted", isWatching));
    settings.push_back(numberSetting("interval-ms",
        fmt::format("ms between repetitions (default {})", defaultIntervalMs), 1, maxIntervalMs, interval));
    if (!readArguments(spec(), settings, arguments, console)) {
        return ExitCode::Success;
    }
    if (isWatching) {
        watch(options, base::Milliseconds(interval.value_or(defaultIntervalMs)), console);
    } else {
        DocumentCache cache;
        showOnce(options, cache, console);
    }
    return ExitCode::Success;
}

} // namespace

Command statusCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
