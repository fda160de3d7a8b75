// The platform: the change log, the configuration and the process of a query gateway.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "node.h"
#include "record.h"

namespace review {

struct Host {
  std::string name;
  std::string dial;
  std::string health;  // ready, draining or gone
  std::string site = "east-wing";
};

inline std::string fleet_event(int seq, bool whole, const std::vector<Host>& hosts) {
  std::string text = "{\"seq\":" + std::to_string(seq) + ",\"fleet\":{\"seq\":" + std::to_string(seq) +
                     ",\"whole\":" + (whole ? "true" : "false") + ",\"hosts\":[";
  bool first = true;
  for (const Host& host : hosts) {
    if (!first) text += ',';
    first = false;
    text += "{\"host\":\"" + host.name + "\",\"dial\":\"" + host.dial + "\",\"site\":\"" + host.site +
            "\",\"class\":\"std-8a\",\"block\":2,\"health\":\"" + host.health +
            "\",\"share\":1,\"born_ms\":0}";
  }
  return text + "]}}";
}

// Tells each event after the number that a query gateway names, and the last number each second.
class ChangeLog {
 public:
  explicit ChangeLog(Record& record) : record_(record), listener_(listen_on("127.0.0.1", 0)) {}
  ~ChangeLog() { stop(); }
  ChangeLog(const ChangeLog&) = delete;
  ChangeLog& operator=(const ChangeLog&) = delete;

  bool good() const { return listener_ >= 0; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_of(listener_)); }
  // The event's number has to follow the last one.
  void add(const std::string& event) {
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(event);
    changed_.notify_all();
  }
  std::string known() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string results;
    for (const std::string& event : events_) results += (results.empty() ? "" : ",") + event;
    return "{\"seq\":" + std::to_string(events_.size()) + ",\"results\":[" + results + "]}";
  }
  // From now on, what is told goes out at this rate; 0: at once.
  void slow_down(size_t bytes_per_s) { bytes_per_s_ = bytes_per_s; }
  void start() {
    acceptor_ = std::thread([this] { accept_all(); });
  }
  void stop() {
    if (stopping_.exchange(true)) return;
    changed_.notify_all();
    if (acceptor_.joinable()) acceptor_.join();
    while (threads_ > 0) sleep_s(0.01);
    close(listener_);
  }

 private:
  void accept_all() {
    while (!stopping_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (poll(&waiting, 1, 50) <= 0) continue;
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      no_delay(fd);
      ++threads_;
      std::thread([this, fd] {
        tell(fd);
        close(fd);
        --threads_;
      }).detach();
    }
  }

  void tell(int fd) {
    std::string line;
    char c = 0;
    while (line.size() < 100 && recv(fd, &c, 1, 0) == 1 && c != '\n') line += c;
    if (line.compare(0, 6, "since ") != 0) return;
    size_t told = std::strtoul(line.c_str() + 6, nullptr, 10);
    record_.line("changelog " + line);
    while (!stopping_) {
      std::string text;
      {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(told == events_.size() ? 1 : 0));
        for (; told < events_.size(); ++told) text += events_[told] + "\n";
        if (text.empty()) text = std::to_string(events_.size()) + "\n";
      }
      const double from_s = now_s();
      if (!send_paced(fd, text)) {
        record_.line("changelog: the query gateway closed the connection while an event was told");
        return;
      }
      if (text.size() > 1000)
        record_.line("changelog: " + std::to_string(text.size()) + " bytes told in " +
                     std::to_string(now_s() - from_s) + " s");
    }
  }

  bool send_paced(int fd, const std::string& text) const {
    if (bytes_per_s_ == 0) return send_all(fd, text);
    const size_t piece = std::max<size_t>(bytes_per_s_ / 50, 1);
    for (size_t sent = 0; sent < text.size() && !stopping_; sent += piece) {
      if (!send_all(fd, text.substr(sent, piece))) return false;
      pollfd state{fd, POLLRDHUP, 0};
      if (sent + piece < text.size() && poll(&state, 1, 20) > 0) return false;
    }
    return true;
  }

  Record& record_;
  const int listener_;
  std::atomic<size_t> bytes_per_s_{0};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
  std::thread acceptor_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> threads_{0};
};

// Starts nodes s-0, s-1 and so on and tells them in the first event. Returns none where an address can't be
// had.
inline std::vector<Node*> add_nodes(NodeFarm& farm, ChangeLog& log, int count) {
  std::vector<Node*> nodes;
  std::vector<Host> hosts;
  for (int i = 0; i < count; ++i) {
    Node* const node = farm.add("s-" + std::to_string(i), "127.0.0." + std::to_string(i + 2), 0);
    if (node == nullptr) return {};
    nodes.push_back(node);
    hosts.push_back({node->name, node->dial(), "ready"});
  }
  log.add(fleet_event(1, true, hosts));
  return nodes;
}

struct GatewayOptions {
  std::string name = "n1";
  std::string settings;  // JSON
  int memory_mb = 192;
  int sockets = 1024;
};

// The settings of the site nairobi-archive, as its site file and the protocol page give them, in a fleet of
// so many query gateways.
inline std::string nairobi_settings(int gateways = 1) {
  return R"({"Clients":{"MarksRetry":true},"Discovery":"automatic",
 "Extra":{"Grants":false,"KindCores":[8,8],"MemoryShort":"line_up","MostGrant":0.4,"SaysCost":true,
  "SizeMb":[16384.0,16384.0],"TakesPriority":true,"TellsEveryUs":1000000,"ThreadsByClass":[1,4],
  "WaitsForLoads":[false,false],"WritesTables":[false,false]},
 "Family":"queries","Fees":{"CrossZone":0.02,"LateFail":0.03,"Waste":0.05,"Probe":0.0},
 "Flavors":["std-8a","std-8b"],"Instances":)" +
         std::to_string(gateways) + R"(,
 "Limits":{"Cancel":true,"DialTimeoutUs":250000,"IdleCloseUs":15000000,"MaxAttempts":6,"MaxOpen":20000,
  "MaxRetryAfterUs":2000000,"MaxStreams":32,"Peers":false,"Probes":false,"RetryAfter":true,"SecondCopies":false},
 "OverShareWorth":0.1,"Report":{"Fields":["concurrent","depth","x0","x1"],"Source":"inline"},
 "Rules":{"AnswerSlackUs":20000,"AskWithinUs":10000000,"ColdFrom":0.35,"DrainGraceUs":250000,"FallMultiple":3.0,
  "FallUs":1500000,"WarmAfterUs":14000000},
 "SelfIndex":0,
 "Services":[{"AimStretch":2.0,"AimUs":1500000,"DeadlineUs":7500000,"KeyScope":"all","LateWorth":0.0,
   "Name":"lookup","Repeat":"retryable","Stream":false,"WindowUs":5000000,"Worth":1.0},
  {"AimStretch":2.5,"AimUs":2000000,"DeadlineUs":15000000,"KeyScope":"all","LateWorth":0.4,
   "Name":"report","Repeat":"retryable","Stream":false,"WindowUs":5000000,"Worth":5.0}],
 "Tenants":[],"TickUs":5000,"Tier":0,"Tiers":["gallery-query"],"WeightSource":"rough","WorthBy":"request",
 "Zone":0,"Zones":["east-wing","west-wing","north-wing"]})";
}

// A query gateway, started with the line `run` of the deploy file.
class Gateway {
 public:
  // `root` is the repository, `folder` a temporary folder.
  Gateway(Record& record, std::string root, std::string folder)
      : record_(record), root_(std::move(root)), folder_(std::move(folder)) {}
  ~Gateway() { kill_now(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  bool start(const GatewayOptions& options, const std::string& changelog, const std::string& known) {
    const std::string run = run_line();
    if (run.empty()) return false;
    port_ = free_port();
    const std::string listen = "127.0.0.1:" + std::to_string(port_);
    config_path_ = folder_ + "/" + options.name + ".json";
    std::ofstream(config_path_) << "{\"name\":\"" << options.name << "\",\"listen\":\"" << listen
                                << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                                << options.memory_mb << ",\"sockets\":" << options.sockets
                                << "},\"changelog\":\"" << changelog << "\",\"known\":" << known
                                << ",\"settings\":" << options.settings << "}";
    log_path_ = folder_ + "/" + options.name + ".log";
    const int log = open(log_path_.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // the query gateway doesn't outlive the case
      dup2(log, 1);
      dup2(log, 2);
      if (chdir(root_.c_str()) != 0) _exit(2);
      setenv("BALANCER_NAME", options.name.c_str(), 1);
      setenv("BALANCER_LISTEN", listen.c_str(), 1);
      setenv("BALANCER_CONFIG", config_path_.c_str(), 1);
      setenv("TMPDIR", folder_.c_str(), 1);
      execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      _exit(2);
    }
    close(log);
    record_.line("gateway started, run line: " + run);
    return pid_ > 0 && wait_ready();
  }

  int port() const { return port_; }
  int pid() const { return pid_; }
  void send_signal(int number) const {
    if (pid_ > 0 && !ended_) ::kill(pid_, number);
  }
  // Whether the process has ended; its wait status is in status().
  bool has_ended() {
    if (!ended_ && pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
    return ended_;
  }
  int status() const { return status_; }
  bool healthy(double within_s) const {
    const int fd = connect_to("127.0.0.1", port_);
    if (fd < 0) return false;
    Message answer;
    const bool sent = send_all(fd, "GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n");
    MessageReader reader(fd);
    const bool good = sent && reader.read(answer, now_s() + within_s) == ReadResult::kMessage;
    close(fd);
    return good && answer.status() == 200;
  }
  void kill_now() {
    if (pid_ <= 0 || has_ended()) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    ended_ = true;
  }
  // A number in kB from the process's status in /proc.
  long status_kb(const std::string& name) const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(in, line))
      if (line.compare(0, name.size() + 1, name + ":") == 0) return std::atol(line.c_str() + name.size() + 1);
    return -1;
  }
  // Processor time used so far, in seconds.
  double cpu_s() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    const size_t end = text.rfind(')');
    if (end == std::string::npos) return 0;
    std::istringstream fields(text.substr(end + 2));
    std::string word;
    double ticks = 0;
    for (int i = 0; i < 13 && fields >> word; ++i)
      if (i >= 11) ticks += std::atof(word.c_str());
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  std::string last_log_lines(size_t count) const {
    std::ifstream in(log_path_);
    std::vector<std::string> lines;
    std::string line;
    while (std::getline(in, line)) lines.push_back(line);
    std::string out;
    for (size_t i = lines.size() > count ? lines.size() - count : 0; i < lines.size(); ++i)
      out += lines[i] + "\n";
    return out;
  }

 private:
  std::string run_line() const {
    std::ifstream in(root_ + "/deploy/balancer.toml");
    std::string line;
    while (std::getline(in, line)) {
      if (line.compare(0, 6, "run = ") != 0) continue;
      const size_t first = line.find('"');
      const size_t last = line.find('"', first + 1);
      if (last != std::string::npos) return line.substr(first + 1, last - first - 1);
    }
    return "";
  }
  static int free_port() {
    const int fd = listen_on("127.0.0.1", 0);
    const int port = port_of(fd);
    close(fd);
    return port;
  }
  bool wait_ready() {
    const double until_s = now_s() + 30;
    while (now_s() < until_s && !has_ended()) {
      if (healthy(1)) {
        record_.line("gateway ready at port " + std::to_string(port_));
        return true;
      }
      sleep_s(0.05);
    }
    return false;
  }

  Record& record_;
  const std::string root_;
  const std::string folder_;
  std::string config_path_;
  std::string log_path_;
  int port_ = 0;
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = 0;
};

}  // namespace review
