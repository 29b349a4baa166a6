add_library(crocuscove_warnings INTERFACE)
target_compile_options(crocuscove_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
# GCC 12 reports overlapping copies in std::string operations where there are none (GCC bug 105651).
target_compile_options(crocuscove_warnings INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
