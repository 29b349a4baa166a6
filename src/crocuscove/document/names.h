#pragma once

#include "crocuscove/base/enum_names.h"
#include "crocuscove/document/service_document.h"

namespace crocuscove::document {

inline constexpr auto failureDomainNames = base::enumNames<FailureDomain>({
    { FailureDomain::Rack, "rack" },
    { FailureDomain::DataCentre, "data-centre" },
});

inline constexpr auto workClassNames = base::enumNames<WorkClass>({
    { WorkClass::Short, "short" },
    { WorkClass::Long, "long" },
    { WorkClass::Patient, "patient" },
});

} // namespace crocuscove::document
