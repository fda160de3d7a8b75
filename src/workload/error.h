// Base class of all error types of this project.
#pragma once

#include <stdexcept>

namespace sablelink {

/// An error with a cause outside the program, such as invalid input or a file or address that can't be used.
/// The message is one sentence for an operator; the command line prints it and exits with a non-zero status.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace sablelink
