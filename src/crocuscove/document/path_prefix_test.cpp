#include "crocuscove/document/path_prefix.h"

#include <gtest/gtest.h>

namespace crocuscove::document {
namespace {

// Guards against a prefix that takes the requests of a sibling path.
TEST(PathPrefix, EndsAtASegment)
{
    EXPECT_TRUE(isPathPrefix("/a", "/a"));
    EXPECT_TRUE(isPathPrefix("/a", "/a/b"));
    EXPECT_TRUE(isPathPrefix("/a/", "/a/b"));
    EXPECT_TRUE(isPathPrefix("/", "/a"));
    EXPECT_FALSE(isPathPrefix("/a", "/ab"));
    EXPECT_FALSE(isPathPrefix("/a/", "/a"));
    EXPECT_FALSE(isPathPrefix("/a/b", "/a"));
}

} // namespace
} // namespace crocuscove::document
