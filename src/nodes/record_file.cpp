#include "nodes/record_file.h"

#include <stdexcept>

namespace sablelink::nodes {

const char* kind_name(NodeEvent::Kind kind) {
  switch (kind) {
    case NodeEvent::Kind::kStarted:
      return "started";
    case NodeEvent::Kind::kArrived:
      return "arrived";
    case NodeEvent::Kind::kEnded:
      return "ended";
    case NodeEvent::Kind::kFell:
      return "fell";
  }
  return "";
}

const char* end_name(NodeEvent::End end) {
  switch (end) {
    case NodeEvent::End::kAnswered:
      return "answered";
    case NodeEvent::End::kError:
      return "error";
    case NodeEvent::End::kRefused:
      return "refused";
    case NodeEvent::End::kCancelled:
      return "cancelled";
    case NodeEvent::End::kBroken:
      return "broken";
  }
  return "";
}

RecordFile::RecordFile(const std::string& path) : file_(std::fopen(path.c_str(), "a")) {
  if (file_ == nullptr) throw std::runtime_error("record " + path + " can't be written");
}

RecordFile::~RecordFile() { std::fclose(file_); }

namespace {

// Names come from headers, so quotes and signs that JSON minds are put aside.
std::string plain(const std::string& text) {
  std::string out;
  for (const char c : text)
    out += (c == '"' || c == '\\' || static_cast<unsigned char>(c) < 0x20) ? '?' : c;
  return out;
}

}  // namespace

void RecordFile::record(const NodeEvent& e) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "{\"event\":\"%s\",\"at\":%lld,\"node\":\"%s\"", kind_name(e.kind),
               static_cast<long long>(e.at), plain(e.node).c_str());
  if (e.kind != NodeEvent::Kind::kStarted)
    std::fprintf(file_,
                 ",\"request\":\"%s\",\"tag\":\"%s\",\"attempt\":%d,\"update\":%s,\"work_us\":%.0f",
                 plain(e.request).c_str(), plain(e.tag).c_str(), e.attempt, e.update ? "true" : "false", e.work_us);
  if (e.kind == NodeEvent::Kind::kEnded)
    std::fprintf(file_, ",\"end\":\"%s\",\"ran\":%s,\"done\":%s", end_name(e.end), e.ran ? "true" : "false",
                 e.done ? "true" : "false");
  std::fputs("}\n", file_);
  std::fflush(file_);
}

}  // namespace sablelink::nodes
