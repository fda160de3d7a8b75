// Child processes of the fault drill, which run this program as a gateway or a node.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "workload/error.h"
#include "workload/types.h"

namespace sablelink::badday {

/// Thrown when a child process can't be started.
struct ProcessError : Error {
  using Error::Error;
};

class Process {
 public:
  // Starts the program with the arguments and appends its standard error to the log file. Throws
  // ProcessError.
  Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log_path);
  ~Process();  // kills the process if it is still running
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Waits until the process prints the line "ready". Returns false if it exits before or the timeout expires.
  bool wait_ready(TimeUs timeout_us);
  void signal(int number);
  // Waits until the process exits; returns false if the timeout expires. status receives the wait status of
  // waitpid().
  bool wait_exit(TimeUs timeout_us, int* status = nullptr);
  void kill();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int stdout_fd_ = -1;
  bool exited_ = false;
};

// Returns a loopback address, "host:port", with a port that is free now. Another process may bind the port
// before it is used; the process started on it then fails to become ready.
std::string free_address();

}  // namespace sablelink::badday
