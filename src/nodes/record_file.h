// Records in a file: NodeRecord messages (proto/sablelink.proto), each behind its length, each written out at
// once, so that a killed process loses none but the one it was writing.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "nodes/recorder.h"
#include "workload/error.h"

namespace sablelink::nodes {

/// A record file can't be opened.
struct RecordFileError : Error {
  using Error::Error;
};

class RecordFile : public Recorder {
 public:
  // Appends. Throws RecordFileError where the file can't be opened.
  explicit RecordFile(const std::string& path);
  ~RecordFile() override;
  void record(const NodeEvent& event) override;

 private:
  std::mutex mutex_;
  int file_;
};

// All records of a file; one cut off at its end is left out. Throws RecordFileError where there is no file.
std::vector<NodeEvent> read_records(const std::string& path);

}  // namespace sablelink::nodes
