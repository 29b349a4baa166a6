#pragma once

#include "crocuscove/document/parse.h"

#include <string>
#include <vector>

namespace crocuscove::document {

struct FlatField {
    std::string field;
    std::string value;
};

/// Lists every field of a document with its value, never empty, in the order of the schema.
std::vector<FlatField> flatten(const Document& document);

} // namespace crocuscove::document
