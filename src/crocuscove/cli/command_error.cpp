#include "crocuscove/cli/command_error.h"

#include "crocuscove/base/enum_names.h"

namespace crocuscove::cli {

namespace {

constexpr auto exitCodeNames = base::enumNames<ExitCode>({
    { ExitCode::Success, "success" },
    { ExitCode::Failed, "failed" },
    { ExitCode::InvalidInput, "invalid-input" },
    { ExitCode::Conflict, "conflict" },
    { ExitCode::Unavailable, "unavailable" },
    { ExitCode::UnknownOutcome, "unknown-outcome" },
});

} // namespace

std::string_view exitCodeName(ExitCode code) { return exitCodeNames.name(code); }

} // namespace crocuscove::cli
