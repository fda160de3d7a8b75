// Child processes of the bad day: this same program as a gateway or a node.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "workload/error.h"
#include "workload/types.h"

namespace sablelink::badday {

/// A child process can't be started.
struct ProcessError : Error {
  using Error::Error;
};

class Process {
 public:
  // Starts the program with the arguments; its standard error is appended to the log file. Throws
  // ProcessError.
  Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log);
  ~Process();  // kills it
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Waits until it has said "ready"; false where it ended or the time is up.
  bool wait_ready(TimeUs within);
  void signal(int number);
  // Waits for its end; false where the time is up. status gets what waitpid tells.
  bool wait_end(TimeUs within, int* status = nullptr);
  void kill();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int out_ = -1;
  bool ended_ = false;
};

// A loopback address, "host:port", that nobody listens on now. It may be taken before its use, which the
// process then reports by not getting ready.
std::string free_address();

}  // namespace sablelink::badday
