// Measures the data folder: records a second with group commit against one fsync a record, and opening a folder with
// 100,000 entries. Files are written below the folder given as argument, by default the current one.

#include "crocuscove/storage/data_folder.h"
#include "report.h"

#include <filesystem>
#include <functional>
#include <numeric>
#include <string>

namespace crocuscove::bench {
namespace {

using consensus::Entry;
using consensus::EntryKind;
using consensus::Index;

constexpr std::size_t entryBytes = 200;
constexpr std::size_t entriesInFolder = 100'000;
constexpr std::size_t commits = 500;
constexpr std::size_t targetBatch = 64;
constexpr int openRuns = 5;
constexpr double minGroupCommitRatio = 20.0;
constexpr double maxOpenMs = 5000.0;

std::vector<Entry> entriesFrom(Index first, std::size_t count)
{
    std::vector<Entry> entries;
    for (Index index = first; index < first + count; ++index) {
        entries.push_back({ index, 1, EntryKind::Normal, std::string(entryBytes, 'd') });
    }
    return entries;
}

/// Runs `use` on a new folder and removes the folder.
void withFolder(const std::string& parent, const std::function<void(const std::string& path)>& use)
{
    const std::string path = parent + "/storage-bench-data";
    std::filesystem::remove_all(path);
    use(path);
    std::filesystem::remove_all(path);
}

double sum(const std::vector<double>& values) { return std::accumulate(values.begin(), values.end(), 0.0); }

/// Returns how many times more records a second are stored when each sync covers `batch` of them. Commits of one record
/// and of `batch` records alternate, so that other load on the disk meets both alike.
double groupCommitRatio(const std::string& parent, std::size_t batch)
{
    std::vector<double> singleMs;
    std::vector<double> groupMs;
    withFolder(parent, [&](const std::string& path) {
        storage::DataFolder folder = storage::DataFolder::open({ .path = path });
        folder.append(consensus::HardState { 1, {} }, {});
        folder.sync();
        Index next = 1;
        const auto timeCommit = [&folder, &next](std::size_t count) {
            const std::vector<Entry> entries = entriesFrom(next, count);
            next += count;
            return timeRuns(1, [&] {
                folder.append(std::nullopt, entries);
                folder.sync();
            }).front();
        };
        for (std::size_t i = 0; i < commits; ++i) {
            singleMs.push_back(timeCommit(1));
            groupMs.push_back(timeCommit(batch));
        }
    });
    const double single = static_cast<double>(commits) * 1000.0 / sum(singleMs);
    const double group = static_cast<double>(commits * batch) * 1000.0 / sum(groupMs);
    report("commit of one record, p50", percentile(singleMs, 0.5), "ms");
    report("commit of one record, p99", percentile(singleMs, 0.99), "ms");
    report(fmt::format("commit of {} records, p50", batch), percentile(groupMs, 0.5), "ms");
    report(fmt::format("commit of {} records, p99", batch), percentile(groupMs, 0.99), "ms");
    report("records a second, one fsync a record", single, "1/s");
    report(fmt::format("records a second, one fsync for {}", batch), group, "1/s");
    return group / single;
}

void measureOpen(const std::string& parent)
{
    withFolder(parent, [](const std::string& path) {
        {
            storage::DataFolder folder = storage::DataFolder::open({ .path = path });
            folder.append(consensus::HardState { 1, {} }, entriesFrom(1, entriesInFolder));
            folder.sync();
        }
        std::size_t recovered = 0;
        const std::vector<double> durations = timeRuns(openRuns,
            [&] { recovered = storage::DataFolder::open({ .path = path }).takeRecovered().restored.entries.size(); });
        report("entries recovered by open", static_cast<double>(recovered), "");
        const double worst = percentile(durations, 1.0);
        report("open with 100,000 entries, slowest of 5", worst, "ms", "<= 5000", worst <= maxOpenMs);
    });
}

void run(const std::string& parent)
{
    for (const std::size_t batch : { 16U, 64U, 256U }) {
        const double ratio = groupCommitRatio(parent, batch);
        const std::string what = fmt::format("group commit of {} against one fsync a record", batch);
        if (batch == targetBatch) {
            report(what, ratio, "times", ">= 20", ratio >= minGroupCommitRatio);
        } else {
            report(what, ratio, "times");
        }
    }
    measureOpen(parent);
}

} // namespace
} // namespace crocuscove::bench

int main(int argc, char** argv)
{
    crocuscove::bench::run(argc > 1 ? argv[1] : ".");
    return 0;
}
