#include "crocuscove/base/text.h"

#include <gtest/gtest.h>

namespace crocuscove::base {
namespace {

// Guards against lost empty parts, which would let "a,,b" pass as a list of two.
TEST(Text, SplitKeepsEmptyParts)
{
    EXPECT_EQ(split("a,,b,", ','), (std::vector<std::string> { "a", "", "b", "" }));
    EXPECT_EQ(split("", ','), std::vector<std::string> { "" });
}

} // namespace
} // namespace crocuscove::base
