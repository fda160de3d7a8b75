// Time and the record of a run: what was sent, answered and run.
#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>

namespace review {

// Seconds since the start of this process.
inline double now_s() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline long long unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Writes lines with the time in seconds. Used by all threads of a case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.4f %s\n", now_s(), text.c_str());
    std::fflush(file_);
  }
  // A line that is also shown on standard output.
  void say(const std::string& text) {
    line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

}  // namespace review
