#include "crocuscove/state/command.h"

#include "crocuscove/state/codec.h"

namespace crocuscove::state {

std::string encodeCommand(const Command& command) { return base::encode(command); }

Command decodeCommand(std::string_view bytes) { return base::decode<Command>(bytes); }

} // namespace crocuscove::state
