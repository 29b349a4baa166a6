#include "crocuscove/document/parse.h"

#include "crocuscove/document/document_reader.h"
#include "crocuscove/document/text_check.h"
#include "crocuscove/document/yaml_tree.h"

namespace crocuscove::document {

namespace {

enum class Kind {
    Service,
    Fleet,
};

constexpr auto kindNames = base::enumNames<Kind>({ { Kind::Service, "service" }, { Kind::Fleet, "fleet" } });

constexpr std::string_view schemaVersion = "crocuscove/v1";

void checkSchema(const Field& field, ProblemList& problems)
{
    const auto schema = readText(field, problems);
    if (schema && *schema != schemaVersion) {
        problems.add(field.place, field.path, "unknown schema " + quoteForMessage(*schema), std::string(schemaVersion));
    }
}

std::optional<Document> readDocument(const YamlNode& root, ProblemList& problems)
{
    const Field field { &root, root.place, std::string(wholeDocument) };
    MapReader map(field, problems);
    if (const auto schema = map.required("schema")) {
        checkSchema(*schema, problems);
    }
    const auto kind
        = readIfPresent(map.required("kind"), [&](const Field& f) { return readName(f, kindNames, problems); });
    if (!kind) {
        return std::nullopt; // The other keys depend on the kind.
    }
    std::optional<Document> document;
    if (*kind == Kind::Service) {
        document = readServiceDocument(map, problems);
    } else {
        document = readFleetDocument(map, problems);
    }
    map.finish();
    return document;
}

} // namespace

ParseResult parseDocument(std::string_view text, std::string_view fileName)
{
    ProblemList problems(fileName);
    ParseResult result;
    if (checkText(text, problems)) {
        if (const auto root = readYaml(text, problems)) {
            result.document = readDocument(*root, problems);
        }
    }
    if (!problems.empty()) {
        result.document.reset();
    }
    result.problems = problems.sorted();
    return result;
}

base::ServiceId documentId(const Document& document)
{
    const auto* service = std::get_if<ServiceDocument>(&document);
    return service == nullptr ? base::ServiceId("fleet") : service->service;
}

} // namespace crocuscove::document
