#pragma once

#include <random>

namespace crocuscove::base {

/// Generator that is handed to whatever needs randomness. The owner logs its seed at start.
using Random = std::mt19937_64;

/// Returns a number in [0, 1).
inline double randomUnit(Random& random) { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }

} // namespace crocuscove::base
