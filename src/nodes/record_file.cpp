#include "nodes/record_file.h"

#include <fcntl.h>
#include <google/protobuf/util/delimited_message_util.h>
#include <unistd.h>

#include <fstream>

#include "sablelink.pb.h"

namespace sablelink::nodes {

RecordFile::RecordFile(const std::string& path)
    : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {
  if (file_ < 0) throw RecordFileError("record " + path + " can't be written");
}

RecordFile::~RecordFile() { ::close(file_); }

void RecordFile::record(const NodeEvent& e) {
  wire::NodeRecord r;
  r.set_kind(static_cast<wire::NodeRecord::Kind>(e.kind));
  r.set_at_us(e.at);
  r.set_node(e.node);
  r.set_request(e.request);
  r.set_tag(e.tag);
  r.set_attempt(e.attempt);
  r.set_update(e.update);
  r.set_ran(e.work_started);
  r.set_done(e.work_completed);
  r.set_work_us(e.work_us);
  r.set_end(static_cast<wire::NodeRecord::End>(e.end));
  const std::lock_guard lock(mutex_);
  google::protobuf::util::SerializeDelimitedToFileDescriptor(r, file_);
}

std::vector<NodeEvent> read_records(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw RecordFileError("record " + path + " can't be read");
  google::protobuf::io::IstreamInputStream stream(&in);
  std::vector<NodeEvent> events;
  wire::NodeRecord r;
  for (bool end = false;;) {
    r.Clear();
    if (!google::protobuf::util::ParseDelimitedFromZeroCopyStream(&r, &stream, &end)) break;
    NodeEvent e;
    e.kind = static_cast<NodeEvent::Kind>(r.kind());
    e.at = r.at_us();
    e.node = r.node();
    e.request = r.request();
    e.tag = r.tag();
    e.attempt = r.attempt();
    e.update = r.update();
    e.work_started = r.ran();
    e.work_completed = r.done();
    e.work_us = r.work_us();
    e.end = static_cast<NodeEvent::End>(r.end());
    events.push_back(std::move(e));
  }
  return events;
}

}  // namespace sablelink::nodes
