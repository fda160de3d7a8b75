// The platform: processes, the configuration of a gateway and its change log.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "net.h"

namespace review {

/// A child process, killed and reaped with this object.
class Child {
 public:
  Child() = default;
  explicit Child(pid_t pid) : pid_(pid) {}
  Child(Child&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}
  Child& operator=(Child&& other) noexcept {
    end();
    pid_ = std::exchange(other.pid_, -1);
    return *this;
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child() { end(); }

  pid_t pid() const { return pid_; }
  void signal(int number) const { ::kill(pid_, number); }
  /// Whether the process has ended; its status then.
  bool has_ended(int* status) {
    if (pid_ < 0 || ::waitpid(pid_, status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  void end() {
    if (pid_ < 0) return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

  /// Runs a stand-in in a process of its own, which ends with the driver.
  template <typename Fn>
  static Child run(Fn fn) {
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid < 0) cannot_run("fork failed");
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(1);
      fn();
      ::_exit(0);
    }
    return Child(pid);
  }

 private:
  pid_t pid_ = -1;
};

struct Host {
  std::string name;
  int port = 0;
  std::string health = "ready";
};

inline std::string host_json(const Host& host) {
  return R"({"host":")" + host.name + R"(","dial":")" + address_of(host.port) +
         R"(","site":"east","class":"std","block":0,"health":")" + host.health +
         R"(","share":1,"born_ms":0})";
}

inline std::string event_json(int seq, bool whole, const std::vector<Host>& hosts) {
  std::string list;
  for (const Host& host : hosts) list += (list.empty() ? "" : ",") + host_json(host);
  const std::string number = std::to_string(seq);
  return R"({"seq":)" + number + R"(,"fleet":{"seq":)" + number + R"(,"whole":)" +
         (whole ? "true" : "false") + R"(,"hosts":[)" + list + "]}}";
}

/// A change log without throttling: tells the events after the one asked for, and the last number each
/// second.
class ChangeLog {
 public:
  ChangeLog(int listen_fd, int last_known) : listen_fd_(listen_fd), last_known_(last_known) {}

  [[noreturn]] void run() {
    std::vector<int> clients;
    int64_t next_beat = now_us() + kBeatUs;
    for (;;) {
      pollfd waiting{listen_fd_, POLLIN, 0};
      ::poll(&waiting, 1, 20);
      const int fd = ::accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0) clients.push_back(fd);
      if (now_us() < next_beat) continue;
      next_beat += kBeatUs;
      std::erase_if(clients, [&](int client) {
        char bytes[256];
        const ssize_t got = ::recv(client, bytes, sizeof(bytes), 0);
        const bool gone = got == 0 || !write_all(client, std::to_string(last_known_) + "\n");
        if (gone) ::close(client);
        return gone;
      });
    }
  }

 private:
  static constexpr int64_t kBeatUs = 1'000'000;
  int listen_fd_;
  int last_known_;
};

struct GatewayOptions {
  std::string root;       // of the repository
  std::string directory;  // for its configuration and log
  std::vector<Host> hosts;
  int change_log_port = 0;
  int memory_mb = 64;
  int descriptors = 256;
  std::string lookup_deadline_us = "7500000";
};

/// A gateway, started as the deploy file's `run` line says.
class Gateway {
 public:
  explicit Gateway(GatewayOptions options) : options_(std::move(options)), port_(free_port()) {}

  int port() const { return port_; }
  Child& process() { return process_; }

  /// Returns once the gateway has answered GET /healthz with 200.
  void start() {
    const std::string config = options_.directory + "/config.json";
    std::ofstream(config) << config_json();
    const std::string run = run_line();
    process_ = Child::run([&] {
      ::setenv("BALANCER_NAME", "n1", 1);
      ::setenv("BALANCER_LISTEN", address_of(port_).c_str(), 1);
      ::setenv("BALANCER_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", options_.directory.c_str(), 1);
      const int log = ::open((options_.directory + "/gateway.log").c_str(), O_WRONLY | O_CREAT, 0644);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      if (::chdir(options_.root.c_str()) == 0) ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      ::_exit(127);
    });
    const int64_t give_up_at = now_us() + 30'000'000;
    while (!is_healthy()) {
      if (now_us() > give_up_at) cannot_run("the gateway wasn't ready within 30 s");
      ::usleep(20'000);
    }
  }

 private:
  // The value of `run` in the deploy file.
  std::string run_line() const {
    std::ifstream deploy(options_.root + "/deploy/balancer.toml");
    std::string line;
    while (std::getline(deploy, line)) {
      if (!line.starts_with("run")) continue;
      const size_t from = line.find('"') + 1;
      return line.substr(from, line.find('"', from) - from);
    }
    cannot_run("deploy/balancer.toml has no line 'run'");
  }

  bool is_healthy() const {
    const int fd = connect_to(port_);
    if (fd < 0) return false;
    write_all(fd, "GET /healthz HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
    std::string input;
    char bytes[512];
    pollfd waiting{fd, POLLIN, 0};
    while (::poll(&waiting, 1, 1000) > 0) {
      const ssize_t got = ::recv(fd, bytes, sizeof(bytes), 0);
      if (got <= 0) break;
      input.append(bytes, static_cast<size_t>(got));
    }
    ::close(fd);
    return input.find(" 200 ") != std::string::npos;
  }

  // Settings of a small deployment: two classes, both safe to repeat, never two attempts of one request.
  std::string config_json() const {
    return R"({"name":"n1","listen":")" + address_of(port_) + R"(","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":)" +
           std::to_string(options_.memory_mb) + R"(,"sockets":)" + std::to_string(options_.descriptors) +
           R"(},"changelog":")" + address_of(options_.change_log_port) + R"(","known":{"seq":1,"results":[)" +
           event_json(1, true, options_.hosts) + R"(]},
 "settings":{"Zones":["east"],"Zone":0,"Flavors":["std"],"Instances":1,"SelfIndex":0,"TickUs":5000,
  "Family":"queries","Discovery":"automatic","WeightSource":"rough","WorthBy":"request","Tenants":[],
  "Clients":{"MarksRetry":true},
  "Limits":{"Cancel":true,"DialTimeoutUs":250000,"IdleCloseUs":15000000,"MaxAttempts":6,"MaxOpen":20000,
   "MaxRetryAfterUs":2000000,"MaxStreams":32,"Peers":false,"Probes":false,"RetryAfter":true,
   "SecondCopies":false},
  "Extra":{"KindCores":[8],"SizeMb":[16384],"ThreadsByClass":[1,4],"WaitsForLoads":[false,false],
   "WritesTables":[false,false],"TellsEveryUs":1000000,"SaysCost":true,"Grants":false,"MostGrant":0.4,
   "TakesPriority":true,"MemoryShort":"line_up"},
  "Report":{"Fields":["concurrent","depth"],"Source":"off"},
  "Rules":{"AnswerSlackUs":20000,"AskWithinUs":10000000,"DrainGraceUs":250000,"ColdFrom":0.35,
   "FallMultiple":3.0,"FallUs":1500000,"WarmAfterUs":14000000},
  "Services":[
   {"Name":"lookup","AimUs":1500000,"AimStretch":2.0,"DeadlineUs":)" +
           options_.lookup_deadline_us + R"(,"KeyScope":"all","LateWorth":0.0,"Repeat":"retryable",
    "Stream":false,"WindowUs":5000000,"Worth":1.0},
   {"Name":"report","AimUs":2000000,"AimStretch":2.5,"DeadlineUs":15000000,"KeyScope":"all","LateWorth":0.4,
    "Repeat":"retryable","Stream":false,"WindowUs":5000000,"Worth":5.0}]}})";
  }

  GatewayOptions options_;
  int port_;
  Child process_;
};

/// Whether the disruption is played: not with TROUBLE=0.
inline bool has_trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// A temporary folder, removed with this object.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string path = (std::filesystem::temp_directory_path() / "sablelink-review-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) cannot_run("no temporary folder");
    path_ = path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace review
