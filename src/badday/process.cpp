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
                 const std::string& log) {
  int pipe[2];
  if (::pipe2(pipe, O_CLOEXEC) != 0) throw ProcessError("no pipe for " + program);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe[1], 1);
  posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<char*> argv{const_cast<char*>(program.c_str())};
  for (const std::string& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
  argv.push_back(nullptr);
  const int error = ::posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  ::close(pipe[1]);
  out_ = pipe[0];
  if (error != 0) {
    ::close(out_);
    throw ProcessError(program + " can't be started");
  }
}

Process::~Process() {
  kill();
  ::close(out_);
}

bool Process::wait_ready(TimeUs within) {
  std::string said;
  const auto until = std::chrono::steady_clock::now() + std::chrono::microseconds(within);
  while (said.find("ready\n") == std::string::npos) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now())
            .count();
    pollfd waiting{out_, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) return false;
    char buffer[256];
    const ssize_t n = ::read(out_, buffer, sizeof(buffer));
    if (n <= 0) return false;
    said.append(buffer, static_cast<size_t>(n));
  }
  return true;
}

void Process::signal(int number) {
  if (!ended_) ::kill(pid_, number);
}

bool Process::wait_end(TimeUs within, int* status) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::microseconds(within);
  while (!ended_) {
    int told = 0;
    if (::waitpid(pid_, &told, WNOHANG) == pid_) {
      ended_ = true;
      if (status != nullptr) *status = told;
      break;
    }
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

void Process::kill() {
  if (ended_) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  ended_ = true;
}

}  // namespace sablelink::badday
