#include "crocuscove/document/parse.h"
#include "crocuscove/document/test_documents.h"

#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace crocuscove::document {
namespace {

enum class Mutation {
    Replace,
    Insert,
    Remove,
    Repeat,
    Truncate,
};

/// Characters with a meaning in YAML, so that mutations reach past the first syntax error.
rc::Gen<char> mutatedByte()
{
    return rc::gen::oneOf(
        rc::gen::elementOf(std::string("{}[]:,-&*!|>'\"%@`#? \n\t0129azAZ/.")), rc::gen::arbitrary<char>());
}

void mutate(std::string& text)
{
    if (text.empty()) {
        return;
    }
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = *rc::gen::inRange<std::size_t>(1, 40);
    switch (*rc::gen::element(
        Mutation::Replace, Mutation::Insert, Mutation::Remove, Mutation::Repeat, Mutation::Truncate)) {
    case Mutation::Replace:
        text[at] = *mutatedByte();
        break;
    case Mutation::Insert:
        text.insert(at, 1, *mutatedByte());
        break;
    case Mutation::Remove:
        text.erase(at, length);
        break;
    case Mutation::Repeat:
        text.insert(*rc::gen::inRange<std::size_t>(0, text.size()), text.substr(at, length));
        break;
    case Mutation::Truncate:
        text.resize(at);
        break;
    }
}

void assertDocumentOrProblems(const std::string& text)
{
    const ParseResult result = parseDocument(text, "x.yaml");
    RC_ASSERT(result.document.has_value() == result.problems.empty());
    for (const Problem& problem : result.problems) {
        RC_ASSERT(problem.line >= 0);
        RC_ASSERT(!problem.field.empty());
        RC_ASSERT(!problem.cause.empty());
        // Throws on text that isn't UTF-8, which the JSON answer could not carry.
        RC_ASSERT(!nlohmann::json(describe(problem)).dump().empty());
    }
}

// Guards against crashes, hangs and undefined behaviour on damaged documents, and against a document that is returned
// together with problems.
RC_GTEST_PROP(Mutation, DamagedDocumentIsReadOrReported, ())
{
    std::string text(*rc::gen::element(fullService, fullFleet));
    const auto count = *rc::gen::inRange(1, 6);
    for (int index = 0; index < count; ++index) {
        mutate(text);
    }
    assertDocumentOrProblems(text);
}

// Guards against crashes on texts that were never a document.
RC_GTEST_PROP(Mutation, AnyBytesAreReadOrReported, ())
{
    assertDocumentOrProblems(*rc::gen::container<std::string>(mutatedByte()));
}

} // namespace
} // namespace crocuscove::document
