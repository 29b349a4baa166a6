#include "crocuscove/base/id.h"

#include "crocuscove/base/error.h"

#include <gtest/gtest.h>

namespace crocuscove::base {
namespace {

// Guards against ids that break file names, log lines or HTTP paths.
TEST(Id, RefusesBadTexts)
{
    const std::string longest(maxIdCharacters, 'a');
    EXPECT_NO_THROW(VmId { longest });
    for (const std::string& text : { std::string(), longest + "a", std::string("1vm"), std::string("vm_1"),
             std::string("Vm"), std::string("vm/1"), std::string("vm\n"), std::string("-vm"), std::string("vm-") }) {
        EXPECT_THROW(VmId { text }, InvalidInput) << text;
    }
}

} // namespace
} // namespace crocuscove::base
