#include "badday/process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <thread>

namespace sablelink::badday {

std::string free_address() {
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log_path) {
  int pipe[2];
  if (::pipe2(pipe, O_CLOEXEC) != 0) throw ProcessError("no pipe for " + program);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe[1], 1);
  posix_spawn_file_actions_addopen(&actions, 2, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<char*> argv{const_cast<char*>(program.c_str())};
  for (const std::string& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
  argv.push_back(nullptr);
  const int error = ::posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  ::close(pipe[1]);
  stdout_fd_ = pipe[0];
  if (error != 0) {
    ::close(stdout_fd_);
    throw ProcessError(program + " can't be started");
  }
}

Process::~Process() {
  kill();
  ::close(stdout_fd_);
}

bool Process::wait_ready(TimeUs timeout_us) {
  std::string output;
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::microseconds(timeout_us);
  while (output.find("ready\n") == std::string::npos) {
    const auto remaining_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now())
            .count();
    pollfd poll_entry{stdout_fd_, POLLIN, 0};
    if (remaining_ms <= 0 || ::poll(&poll_entry, 1, static_cast<int>(remaining_ms)) <= 0) return false;
    char buffer[256];
    const ssize_t bytes_read = ::read(stdout_fd_, buffer, sizeof(buffer));
    if (bytes_read <= 0) return false;
    output.append(buffer, static_cast<size_t>(bytes_read));
  }
  return true;
}

void Process::signal(int number) {
  if (!exited_) ::kill(pid_, number);
}

bool Process::wait_exit(TimeUs timeout_us, int* status) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::microseconds(timeout_us);
  while (!exited_) {
    int wait_status = 0;
    if (::waitpid(pid_, &wait_status, WNOHANG) == pid_) {
      exited_ = true;
      if (status != nullptr) *status = wait_status;
      break;
    }
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

void Process::kill() {
  if (exited_) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  exited_ = true;
}

}  // namespace sablelink::badday
