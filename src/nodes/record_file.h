// Records in a file: NodeRecord messages (proto/sablelink.proto), each preceded by its length. Each is
// written to the file at once, so that a killed process loses at most the record that it was writing.
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
  // Opens the file for appending and creates it if it is missing. Throws RecordFileError if that fails.
  explicit RecordFile(const std::string& path);
  ~RecordFile() override;
  void record(const NodeEvent& event) override;

 private:
  std::mutex mutex_;
  int file_;
};

// Returns the records of a file up to the first incomplete one, which a killed process leaves at the end.
// Throws RecordFileError if the file can't be read.
std::vector<NodeEvent> read_records(const std::string& path);

}  // namespace sablelink::nodes
