// Records as JSON lines in a file, each written out at once, so that a killed process loses none.
#pragma once

#include <cstdio>
#include <mutex>
#include <string>

#include "nodes/recorder.h"

namespace sablelink::nodes {

class RecordFile : public Recorder {
 public:
  // Appends. Throws std::runtime_error where the file can't be opened.
  explicit RecordFile(const std::string& path);
  ~RecordFile() override;
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;
  void record(const NodeEvent& event) override;

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

const char* kind_name(NodeEvent::Kind kind);
const char* end_name(NodeEvent::End end);

}  // namespace sablelink::nodes
