#include "crocuscove/document/names.h"

namespace crocuscove::document {

std::string_view failureDomainName(FailureDomain domain) { return failureDomainNames.name(domain); }

std::string_view workClassName(WorkClass workClass) { return workClassNames.name(workClass); }

} // namespace crocuscove::document
