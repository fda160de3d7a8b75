// Warehouse nodes by the platform's protocol, all in this process, each at its own loopback address.
#pragma once

#include <sys/epoll.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "record.h"

namespace review {

// The rows of a request's result, as a page's text: the id stands in the first column of each row.
inline std::vector<std::string> result_rows(const std::string& id, int count) {
  std::vector<std::string> rows;
  for (int i = 0; i < count; ++i)
    rows.push_back(id + "\t" + std::to_string(i) + "\tcouple " + std::to_string(i));
  return rows;
}

struct Query {
  std::string id;
  double started_s = 0;
  double ends_s = 0;
  double asked_s = 0;  // when the last call ended
  int rows = 0;
  size_t run = 0;  // in NodeFarm::runs()
};

// What a node ran. An attempt is out from its start until its end is written or it is given up.
struct Run {
  std::string id;
  std::string node;
  double start_s = 0;
  double end_s = -1;  // -1: it is out
  std::string how;    // of the end: answered, deleted, unasked, killed
};

class Node {
 public:
  std::string name;
  std::string host;
  int port = 0;
  std::string dial() const { return host + ":" + std::to_string(port); }

 private:
  friend class NodeFarm;
  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool alive_ = false;
  std::atomic<bool> silent_{false};
  std::atomic<bool> silent_hang_{false};
  std::vector<int> fillers_;  // connections that fill the queue of the listener while the node is cut off
  std::set<int> connections_;
  std::map<std::string, Query> queries_;
};

// Runs the nodes: one thread accepts, and each connection has a thread.
class NodeFarm {
 public:
  struct Hooks {
    // The seconds of work of a query; from its id and class.
    std::function<double(const std::string& id, const std::string& cls)> work_s;
    std::function<int(const std::string& id)> rows = [](const std::string&) { return 5; };
    // Sends an answer in another way than plainly. Returns false if the connection can't be used any more.
    std::function<bool(int fd, const Message& call, const std::string& answer, bool good_end)> send;
  };

  NodeFarm(Record& record, Hooks hooks)
      : record_(record), hooks_(std::move(hooks)), epoll_(epoll_create1(0)) {}
  ~NodeFarm() { stop(); }
  NodeFarm(const NodeFarm&) = delete;
  NodeFarm& operator=(const NodeFarm&) = delete;

  // Returns null if the address can't be had.
  Node* add(const std::string& name, const std::string& host, int port) {
    auto node = std::make_unique<Node>();
    node->listener_ = listen_on(host, port);
    if (node->listener_ < 0) return nullptr;
    node->name = name;
    node->host = host;
    node->port = port_of(node->listener_);
    node->alive_ = true;
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.ptr = node.get();
    epoll_ctl(epoll_, EPOLL_CTL_ADD, node->listener_, &event);
    nodes_.push_back(std::move(node));
    return nodes_.back().get();
  }

  void start() {
    acceptor_ = std::thread([this] { accept_all(); });
  }

  // The node's process ends: it refuses connections, and the open ones are reset. Its queries and pages are
  // lost. Returns the ids of the queries that ran.
  std::vector<std::string> kill(Node& node) {
    const std::lock_guard<std::mutex> accepting(accept_mutex_);
    std::vector<std::string> running;
    const std::lock_guard<std::mutex> lock(node.mutex_);
    node.alive_ = false;
    epoll_ctl(epoll_, EPOLL_CTL_DEL, node.listener_, nullptr);
    close(node.listener_);
    node.listener_ = -1;
    for (const int fd : node.connections_) {
      reset_on_close(fd);
      // The thread of the connection closes it; the reset goes out with the close.
      ::shutdown(fd, SHUT_RD);
    }
    for (const auto& [id, query] : node.queries_) {
      if (now_s() < query.ends_s) running.push_back(id);
      end_run(query.run, "killed");
    }
    node.queries_.clear();
    node.changed_.notify_all();
    return running;
  }

  // The node hangs: it reads nothing and answers nothing, while its machine takes connections and bytes.
  static void hang(Node& node, bool hangs) { node.silent_hang_ = hangs; }

  // Resets one of `one_of` open connections at once.
  void reset_some(Node& node, unsigned one_of) {
    const std::lock_guard<std::mutex> lock(node.mutex_);
    unsigned number = 0;
    for (const int fd : node.connections_) {
      if (++number % one_of != 0) continue;
      sockaddr none{};
      none.sa_family = AF_UNSPEC;
      connect(fd, &none, sizeof(none));
    }
  }

  // A process at the node's address starts again, with nothing.
  bool restart(Node& node) {
    const std::lock_guard<std::mutex> accepting(accept_mutex_);
    const std::lock_guard<std::mutex> lock(node.mutex_);
    node.listener_ = listen_on(node.host, node.port);
    if (node.listener_ < 0) return false;
    node.alive_ = true;
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.ptr = &node;
    return epoll_ctl(epoll_, EPOLL_CTL_ADD, node.listener_, &event) == 0;
  }

  // The node is cut off: its open connections stay open and silent, and new ones never come up.
  void cut_off(Node& node) {
    const std::lock_guard<std::mutex> accepting(accept_mutex_);
    node.silent_ = true;
    epoll_ctl(epoll_, EPOLL_CTL_DEL, node.listener_, nullptr);
    listen(node.listener_, 0);
    for (int i = 0; i < 8; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      const sockaddr_in address = loopback_address(node.host, node.port);
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
      node.fillers_.push_back(fd);
      pollfd waiting{fd, POLLOUT, 0};
      if (poll(&waiting, 1, 20) == 0) break;
    }
  }

  // The cut ends. What was sent meanwhile on connections that are still open arrives now.
  void heal(Node& node) {
    const std::lock_guard<std::mutex> accepting(accept_mutex_);
    for (const int fd : node.fillers_) {
      reset_on_close(fd);
      close(fd);
    }
    node.fillers_.clear();
    listen(node.listener_, 512);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.ptr = &node;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, node.listener_, &event);
    node.silent_ = false;
  }

  void stop() {
    stopping_ = true;
    if (acceptor_.joinable()) acceptor_.join();
    for (const auto& node : nodes_) {
      const std::lock_guard<std::mutex> lock(node->mutex_);
      node->alive_ = false;
      for (const int fd : node->connections_) ::shutdown(fd, SHUT_RDWR);
      node->changed_.notify_all();
    }
    while (threads_ > 0) sleep_s(0.01);
    for (const auto& node : nodes_) {
      if (node->listener_ >= 0) close(node->listener_);
      node->listener_ = -1;
    }
  }

  int started() const { return started_; }
  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> lock(runs_mutex_);
    return runs_;
  }
  int running() {
    int count = 0;
    for (const auto& node : nodes_) {
      const std::lock_guard<std::mutex> lock(node->mutex_);
      for (const auto& [id, query] : node->queries_) count += now_s() < query.ends_s ? 1 : 0;
    }
    return count;
  }

 private:
  void accept_all() {
    while (!stopping_) {
      epoll_event events[64];
      const int count = epoll_wait(epoll_, events, 64, 50);
      const std::lock_guard<std::mutex> accepting(accept_mutex_);
      for (int i = 0; i < count; ++i) accept_one(*static_cast<Node*>(events[i].data.ptr));
    }
  }

  void accept_one(Node& node) {
    const std::lock_guard<std::mutex> lock(node.mutex_);
    if (!node.alive_) return;
    const int fd = accept4(node.listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    no_delay(fd);
    node.connections_.insert(fd);
    ++threads_;
    std::thread([this, &node, fd] {
      serve(node, fd);
      {
        const std::lock_guard<std::mutex> closing(node.mutex_);
        node.connections_.erase(fd);
        close(fd);
      }
      --threads_;
    }).detach();
  }

  void serve(Node& node, int fd) {
    MessageReader reader(fd);
    while (!stopping_) {
      Message call;
      if (reader.read(call, now_s() + 15) != ReadResult::kMessage) return;
      if (!passes(node, fd)) return;
      bool good_end = false;
      const std::string answer = handle(node, call, good_end);
      if (answer.empty() || !passes(node, fd)) return;
      const bool usable = hooks_.send ? hooks_.send(fd, call, answer, good_end) : send_all(fd, answer);
      if (!usable) return;
    }
  }

  // Waits while the node is cut off. Returns false if the query gateway has closed the connection meanwhile:
  // what it had sent then never arrives.
  bool passes(const Node& node, int fd) const {
    while (node.silent_hang_ && !stopping_) sleep_s(0.002);
    if (!node.silent_) return true;
    while (node.silent_ && !stopping_) sleep_s(0.005);
    pollfd state{fd, POLLRDHUP, 0};
    return poll(&state, 1, 0) == 0;
  }

  static std::string make_answer(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + fields +
           (status == 204 ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
  }

  // Returns an empty text if the node has ended.
  std::string handle(Node& node, const Message& call, bool& good_end) {
    std::unique_lock<std::mutex> lock(node.mutex_);
    if (!node.alive_) return "";
    const std::string target = call.target();
    const std::string method = call.method();
    drop_unasked(node);
    if (method == "POST" && target == "/v2/q") {
      const std::string id = call.field("x-ticket");
      if (node.queries_.find(id) == node.queries_.end()) start_query(node, id, call);
      return news(node, lock, id, good_end);
    }
    static const std::string kPath = "/v2/q/";
    if (target.compare(0, kPath.size(), kPath) != 0) return make_answer(500, "", "");
    const std::string rest = target.substr(kPath.size());
    const size_t slash = rest.find('/');
    const std::string id = rest.substr(0, slash);
    const auto query = node.queries_.find(id);
    if (method == "DELETE") {
      record_.line("node " + node.name + " DELETE " + id + (query == node.queries_.end() ? " unknown" : ""));
      if (query == node.queries_.end()) return make_answer(500, "", "");
      end_run(query->second.run, "deleted");
      node.queries_.erase(query);
      node.changed_.notify_all();
      return make_answer(204, "", "");
    }
    if (query == node.queries_.end()) return make_answer(500, "", "");
    if (method == "PUT") return make_answer(204, "", "");
    if (method != "GET" || slash == std::string::npos) return make_answer(500, "", "");
    if (rest.substr(slash + 1) == "0") return news(node, lock, id, good_end);
    return make_answer(500, "", "");  // results of this stand-in have one page
  }

  void start_query(Node& node, const std::string& id, const Message& call) {
    Query query;
    query.id = id;
    query.started_s = query.asked_s = now_s();
    query.ends_s = query.started_s + hooks_.work_s(id, call.field("x-queue"));
    query.rows = hooks_.rows(id);
    {
      const std::lock_guard<std::mutex> runs_lock(runs_mutex_);
      query.run = runs_.size();
      runs_.push_back({id, node.name, query.started_s, -1, ""});
    }
    node.queries_[id] = query;
    ++started_;
    record_.line("node " + node.name + " START " + id + " queue=" + call.field("x-queue"));
  }

  // Waits up to 250 ms for the end of the query.
  std::string news(Node& node, std::unique_lock<std::mutex>& lock, const std::string& id, bool& good_end) {
    const double until_s = now_s() + 0.25;
    while (true) {
      if (!node.alive_) return "";
      const auto query = node.queries_.find(id);
      if (query == node.queries_.end()) return make_answer(500, "", "");
      query->second.asked_s = now_s();
      if (query->second.ends_s <= now_s()) return end_of(node, query->second, good_end);
      if (until_s <= now_s()) return make_answer(202, "", "");
      const double wait_s = std::min(until_s, query->second.ends_s) - now_s();
      node.changed_.wait_for(lock, std::chrono::duration<double>(std::max(wait_s, 0.0005)));
    }
  }

  std::string end_of(Node& node, const Query& query, bool& good_end) {
    std::string page;
    for (const std::string& row : result_rows(query.id, query.rows)) page += row + "\n";
    good_end = true;
    end_run(query.run, "answered");
    record_.line("node " + node.name + " END " + query.id + " rows=" + std::to_string(query.rows));
    const std::string work =
        std::to_string(std::max(1, static_cast<int>((query.ends_s - query.started_s) * 1000)));
    return make_answer(200, "Page-Count: 1\r\nWork-Ms: " + work + "\r\nPeak-Mb: 40\r\n", page);
  }

  // A query runs until it ends, is given up, or is not asked for within 2 s.
  void drop_unasked(Node& node) {
    for (auto it = node.queries_.begin(); it != node.queries_.end();) {
      const bool drop = now_s() > it->second.asked_s + 2.0 + (now_s() < it->second.ends_s ? 0 : 5);
      if (drop) end_run(it->second.run, "unasked", it->second.asked_s + 2.0);
      it = drop ? node.queries_.erase(it) : std::next(it);
    }
  }

  // Sets the end of a run, once.
  void end_run(size_t run, const std::string& how, double at_s = now_s()) {
    const std::lock_guard<std::mutex> lock(runs_mutex_);
    if (runs_[run].end_s >= 0) return;
    runs_[run].end_s = at_s;
    runs_[run].how = how;
  }

  Record& record_;
  const Hooks hooks_;
  const int epoll_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::thread acceptor_;
  std::mutex accept_mutex_;
  std::mutex runs_mutex_;
  std::vector<Run> runs_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> threads_{0};
  std::atomic<int> started_{0};
};

}  // namespace review
