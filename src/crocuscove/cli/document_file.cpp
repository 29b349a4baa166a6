#include "crocuscove/cli/document_file.h"

#include "crocuscove/base/error.h"
#include "crocuscove/cli/command_error.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>

namespace crocuscove::cli {

std::string readDocumentText(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    std::string text(document::maxDocumentBytes + 1, '\0');
    if (stream) {
        stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    }
    // Reading past the end sets only eof and fail. A directory opens, and fails with bad.
    if (!stream.is_open() || stream.bad()) {
        throw base::InvalidInput(fmt::format("file '{}' can't be read: {}", path, std::strerror(errno)));
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

DocumentFile readDocumentFile(const std::string& path)
{
    std::string text = readDocumentText(path);
    document::ParseResult result = document::parseDocument(text, path);
    if (!result.document) {
        throwInvalidDocument(result.problems);
    }
    return { std::move(text), std::move(*result.document) };
}

void throwInvalidDocument(const std::vector<document::Problem>& problems)
{
    std::string lines;
    for (const document::Problem& problem : problems) {
        lines += "\n" + document::describe(problem);
    }
    throw CommandError(ExitCode::InvalidInput,
        fmt::format("invalid document, {} problem(s):{}", problems.size(), lines),
        { { "problems", problemsToJson(problems) } });
}

JsonValue problemsToJson(const std::vector<document::Problem>& problems)
{
    JsonValue list = JsonValue::array();
    for (const document::Problem& problem : problems) {
        list.push_back({ { "file", problem.file }, { "line", problem.line }, { "column", problem.column },
            { "field", problem.field }, { "cause", problem.cause }, { "allowed", problem.allowed } });
    }
    return list;
}

} // namespace crocuscove::cli
