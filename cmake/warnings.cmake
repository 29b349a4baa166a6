add_library(crocuscove_warnings INTERFACE)
target_compile_options(crocuscove_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor)
# Off by default, since a later compiler may know more warnings, which must not end a user's build.
option(CROCUSCOVE_WARNINGS_AS_ERRORS "Treat warnings as errors" OFF)
if(CROCUSCOVE_WARNINGS_AS_ERRORS)
    target_compile_options(crocuscove_warnings INTERFACE -Werror)
endif()
# GCC 12 reports overlapping copies in std::string operations where there are none (GCC bug 105651).
target_compile_options(crocuscove_warnings INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
