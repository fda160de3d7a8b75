// The base of every error type of this project.
#pragma once

#include <stdexcept>

namespace sablelink {

/// What can go wrong for reasons outside the program: bad input, a file or an address that can't be used. The
/// message is one sentence for an operator; the command line prints it and exits with a status other than 0.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace sablelink
