// A closed load of clients, each with a connection of its own, and the check of what they were answered.
#pragma once

#include <sys/resource.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "client.h"

namespace review {

inline bool with_trouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

inline void raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

// The exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

struct LoadOptions {
  int clients = 20;
  double report_share = 0.16;
  int lookup_timeout_ms = 7500;
  int report_timeout_ms = 15000;
  int rows = 5;
  double pause_s = 0;        // between an answer and the next request
  double leaving_share = 0;  // of the requests, whose clients close their connection before their time
  double leave_after_s = 0.5;
};

// Clients that send one request after the other until stop(). A request counts as lost if it gets no whole
// answer within its time and half a second, or is served with other rows than those made for it.
class Load {
 public:
  Load(Record& record, int port, LoadOptions options, unsigned run)
      : record_(record), port_(port), options_(options), run_(run) {}
  ~Load() { stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void start() {
    for (int i = 0; i < options_.clients; ++i) threads_.emplace_back([this, i] { run_client(i); });
  }
  // No further requests are sent.
  void finish() { finishing_ = true; }
  void stop() {
    finishing_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }
  int sent() const { return sent_; }
  int served() const { return served_; }
  int refused() const { return refused_; }
  int failed() const { return failed_; }
  int unanswered() const { return unanswered_; }
  int foreign() const { return foreign_; }
  int lost() const { return unanswered_ + foreign_; }
  // The requests whose clients left, with the times when they closed their connections.
  std::map<std::string, double> left() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return left_;
  }
  std::string summary() const {
    return "sent " + std::to_string(sent_) + ", served " + std::to_string(served_) + ", refused " +
           std::to_string(refused_) + ", failed " + std::to_string(failed_) + ", without an answer " +
           std::to_string(unanswered_) + ", served with wrong rows " + std::to_string(foreign_);
  }

 private:
  void run_client(int index) {
    int fd = -1;
    unsigned number = static_cast<unsigned>(index) << 16;
    while (!finishing_) {
      if (fd < 0) fd = connect_to("127.0.0.1", port_);
      if (fd < 0) {
        sleep_s(0.1);
        continue;
      }
      ++number;
      const std::string id = request_id(run_, number);
      if (!call(fd, id, drawn(id, 1) < options_.report_share)) {
        close(fd);
        fd = -1;
      }
      sleep_s(options_.pause_s);
    }
    if (fd >= 0) close(fd);
  }

  // A number from 0 to 1 that depends on the id alone.
  static double drawn(const std::string& id, unsigned factor) {
    const auto number = static_cast<unsigned>(std::strtoul(id.c_str() + 8, nullptr, 16));
    return static_cast<double>((number * factor * 2654435761U) >> 8) / (1U << 24);
  }

  // Sends a request and waits for its answer. If the connection ends within 50 ms, the request is sent once
  // more on a new one. Returns whether the connection in `fd` can be used again.
  bool call(int& fd, const std::string& id, bool report) {
    const int timeout_ms = report ? options_.report_timeout_ms : options_.lookup_timeout_ms;
    const std::string statement = "SELECT * FROM gallery_" +
                                  std::to_string(1 + std::strtoul(id.c_str() + 12, nullptr, 16) % 24) +
                                  ".couples WHERE tag = '" + id + "'";
    const std::string request = request_text(id, report ? "report" : "lookup", timeout_ms, statement);
    ++sent_;
    const double sent_s = now_s();
    const bool leaves = drawn(id, 40503U) < options_.leaving_share;
    const double until_s = sent_s + (leaves ? options_.leave_after_s : timeout_ms / 1000.0 + 0.5);
    record_.line("client SEND " + id + (report ? " report" : " lookup"));
    Answer answer = exchange(fd, request, until_s);
    bool again = false;
    if (is_closed(answer) && now_s() - sent_s < kCrossingS) {
      again = true;
      close(fd);
      fd = connect_to("127.0.0.1", port_);
      record_.line("client SEND " + id + " again, as it crossed the end of its connection");
      answer = exchange(fd, request, until_s);
    }
    if (leaves && answer.end == ReadResult::kTimeout) {
      const std::lock_guard<std::mutex> lock(mutex_);
      left_[id] = now_s();
      record_.line("client LEAVES " + id);
      return false;
    }
    // The first request on a connection that is closed without an answer has failed and isn't lost.
    if (again && is_closed(answer) && answer.took_s < kCrossingS) answer.result = Result::kFailed;
    count(id, answer);
    return answer.end == ReadResult::kMessage && answer.message.field("connection") != "close";
  }

  static bool is_closed(const Answer& answer) {
    return answer.end == ReadResult::kEnd || answer.end == ReadResult::kReset;
  }

  static Answer exchange(int fd, const std::string& request, double until_s) {
    Answer answer;
    answer.end = ReadResult::kReset;
    if (fd < 0 || !send_all(fd, request)) return answer;
    MessageReader reader(fd);
    return read_answer(reader, until_s);
  }

  void count(const std::string& id, const Answer& answer) {
    std::string what = result_name(answer.result);
    if (answer.result == Result::kServed && !has_rows_of(answer.message.body, id, options_.rows)) {
      ++foreign_;
      what += " WRONG ROWS " + answer.message.body.substr(0, 160);
    } else if (answer.result == Result::kServed) {
      ++served_;
    } else if (answer.result == Result::kRefused) {
      ++refused_;
    } else if (answer.result == Result::kFailed) {
      ++failed_;
    } else {
      ++unanswered_;
    }
    record_.line("client " + what + " " + id + " after " + std::to_string(answer.took_s) + " s");
  }

  static constexpr double kCrossingS = 0.05;

  Record& record_;
  const int port_;
  const LoadOptions options_;
  const unsigned run_;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::map<std::string, double> left_;
  std::atomic<bool> finishing_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
  std::atomic<int> refused_{0};
  std::atomic<int> failed_{0};
  std::atomic<int> unanswered_{0};
  std::atomic<int> foreign_{0};
};

}  // namespace review
