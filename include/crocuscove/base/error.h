#pragma once

#include <stdexcept>
#include <string>

namespace crocuscove::base {

/// Base of all errors thrown by this project. The message is one line for a person.
class Error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A setting, argument or other input outside its allowed range. Ends a command with exit code 2.
class InvalidInput : public Error {
public:
    using Error::Error;
};

} // namespace crocuscove::base
