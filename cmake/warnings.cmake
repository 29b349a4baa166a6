add_library(crocuscove_warnings INTERFACE)
target_compile_options(crocuscove_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
