#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <string>

namespace crocuscove::base::testing {

/// Shrinking takes many runs and helps only a person who reads the counterexample.
enum class Shrinking {
    Off,
    On,
};

/// Checks a property with a fixed seed. Returns an empty text when it holds, else the counterexample.
template <typename Property>
std::string counterexample(std::uint64_t seed, int cases, Shrinking shrinking, Property&& property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    params.disableShrinking = shrinking == Shrinking::Off;
    const auto result
        = rc::detail::checkTestable(std::forward<Property>(property), rc::detail::TestMetadata {}, params);
    if (result.template is<rc::detail::SuccessResult>()) {
        return "";
    }
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    return text.str();
}

} // namespace crocuscove::base::testing
