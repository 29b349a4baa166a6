#include "support/load_schedule.h"

#include "crocuscove/base/error.h"
#include "support/command.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace crocuscove::testing {

namespace {

constexpr double lullFactor = 0.05;
constexpr std::size_t classFields = 7;

} // namespace

LoadClass parseLoadClass(std::string_view text)
{
    const std::vector<std::string> fields = splitList(text, ':');
    if (fields.size() != classFields || (fields[6] != "yes" && fields[6] != "no")) {
        throw base::InvalidInput("not NAME:WEIGHT:METHOD:PATH:DEADLINE-MS:RUN-MS:yes|no");
    }
    return { fields[0], base::parseInteger(fields[1], 1, 1'000'000), fields[2], fields[3],
        base::parseInteger(fields[4], 1, 86'400'000), base::parseInteger(fields[5], 0, 3'600'000), fields[6] == "yes" };
}

double surgeFactor(const SurgeOptions& options, std::size_t index, std::size_t count, base::Milliseconds elapsed)
{
    const auto turn = static_cast<std::size_t>(elapsed.count() / options.periodMs) % count;
    if (options.factor <= 1 || turn != index) {
        return 1;
    }
    const std::int64_t offset = elapsed.count() % options.periodMs;
    if (offset < options.surgeMs) {
        return static_cast<double>(options.factor);
    }
    return offset < 2 * options.surgeMs ? lullFactor : 1;
}

std::size_t drawWeighted(const std::vector<std::int64_t>& weights, base::Random& random)
{
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

ArrivalProcess::ArrivalProcess(double meanPerSecond, SurgeOptions options, std::size_t index, std::size_t count)
    : m_peakPerSecond(meanPerSecond * static_cast<double>(std::max<std::int64_t>(1, options.factor)))
    , m_options(options)
    , m_index(index)
    , m_count(count)
{
}

base::Microseconds ArrivalProcess::next(base::Microseconds elapsed, base::Random& random) const
{
    std::exponential_distribution<double> gap(m_peakPerSecond);
    const auto peakFactor = static_cast<double>(std::max<std::int64_t>(1, m_options.factor));
    while (true) {
        elapsed += base::Microseconds(static_cast<std::int64_t>(gap(random) * 1e6) + 1);
        const double factor
            = surgeFactor(m_options, m_index, m_count, std::chrono::duration_cast<base::Milliseconds>(elapsed));
        if (base::randomUnit(random) * peakFactor < factor) {
            return elapsed;
        }
    }
}

} // namespace crocuscove::testing
