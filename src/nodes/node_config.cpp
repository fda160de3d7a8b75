#include "nodes/node_config.h"

#include <charconv>

#include "config/section.h"

namespace sablelink::nodes {

using config::Section;

const std::vector<std::pair<std::string, FaultKind>>& fault_words() {
  static const std::vector<std::pair<std::string, FaultKind>> kWords = {
      {"hang", FaultKind::kHang},
      {"errors", FaultKind::kErrors},
      {"lost_answers", FaultKind::kLostAnswers},
      {"slow", FaultKind::kSlow},
      {"stale_reports", FaultKind::kStaleReports},
      {"refuse", FaultKind::kRefuse},
      {"memory_short", FaultKind::kMemoryShort}};
  return kWords;
}

NodeConfig parse_node_config(std::string_view text, const std::string& file) {
  Section root = Section::parse(text, file);
  NodeConfig c;
  Section node = root.table("node");
  c.name = node.string("name");
  c.listen = node.string("listen");
  c.record = node.string("record", "");
  c.heeds_grants = node.boolean("grants", false);
  c.progress_every_us = node.duration("progress_every", 0);
  c.report_every_us = node.duration("report_every", c.report_every_us);
  c.batch_bytes = node.byte_size("batch_bytes", c.batch_bytes);
  node.reject_unknown_keys();
  Section s = root.table("engine");
  EngineSettings& e = c.engine;
  e.cores = s.number("cores", 0.1, 10'000, e.cores);
  e.memory_mb =
      static_cast<double>(s.byte_size("memory", static_cast<size_t>(e.memory_mb) << 20)) / (1 << 20);
  e.disks = s.number("disks", 0.1, 10'000, e.cores);
  e.sessions_per_core = s.number("sessions_per_core", 0.01, 10'000, e.sessions_per_core);
  e.peak_threads = s.number("peak_threads", 0.1, 100, e.peak_threads);
  e.warm_groups = s.integer("warm_groups", 0, 10'000, static_cast<int64_t>(e.warm_groups));
  e.warm_saves = s.number("warm_saves", 0, 1, e.warm_saves);
  e.spill_cost = s.number("spill_cost", 1, 1000, e.spill_cost);
  e.cold_from = s.number("cold_from", 0.01, 1, e.cold_from);
  e.warm_after_us = s.duration("warm_after", 0);
  e.fall_multiple = s.number("fall_multiple", 0, 1000, 0);
  e.fall_us = s.duration("fall_after", 0);
  s.reject_unknown_keys();
  for (Section& f : root.tables("fault")) {
    Fault fault;
    fault.kind = f.one_of<FaultKind>("kind", fault_words(), std::nullopt);
    fault.from_us = f.duration("from");
    fault.for_us = f.duration("for");
    fault.value = f.number("value", 0.001, 1000, 1);
    f.reject_unknown_keys();
    c.faults.push_back(fault);
  }
  root.reject_unknown_keys();
  return c;
}

namespace {

using Mishap = StatementHint::Mishap;

Mishap mishap_named(std::string_view name) {
  if (name == "error") return Mishap::kError;
  if (name == "statement") return Mishap::kStatement;
  if (name == "refuse") return Mishap::kRefuse;
  if (name == "hang") return Mishap::kHang;
  if (name == "lost") return Mishap::kLostAnswer;
  if (name == "reset") return Mishap::kReset;
  if (name == "break") return Mishap::kBreakStream;
  return Mishap::kNone;
}

template <typename T>
void read(std::string_view text, T low, T high, T& out) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc() && end == text.data() + text.size() && value >= low && value <= high) out = value;
}

}  // namespace

StatementHint read_hint(std::string_view statement) {
  StatementHint hint;
  const size_t begin = statement.find("/*+");
  if (begin == std::string_view::npos) return hint;
  const size_t end = statement.find("*/", begin);
  if (end == std::string_view::npos) return hint;
  std::string_view text = statement.substr(begin + 3, end - begin - 3);
  while (!text.empty()) {
    const size_t space = text.find(' ');
    const std::string_view item = text.substr(0, space);
    text = space == std::string_view::npos ? std::string_view() : text.substr(space + 1);
    const size_t eq = item.find('=');
    if (eq == std::string_view::npos) continue;
    const std::string_view key = item.substr(0, eq);
    const std::string_view value = item.substr(eq + 1);
    if (key == "work")
      hint.work_us = static_cast<double>(config::parse_duration(value).value_or(5'000));
    else if (key == "threads")
      read(value, 0.1, 1000.0, hint.threads);
    else if (key == "io")
      read(value, 0.0, 1.0, hint.io);
    else if (key == "memory")
      read(value, 0.0, 1e9, hint.memory_mb);
    else if (key == "rows")
      read<int64_t>(value, 0, 100'000'000, hint.rows);
    else if (key == "row_bytes")
      read<size_t>(value, 0, 1 << 20, hint.row_bytes);
    else if (key == "mishap")
      hint.mishap = mishap_named(value);
    else if (key == "valid_at")
      hint.valid_at = value;
    else if (key == "plan")
      hint.plan_us = static_cast<double>(config::parse_duration(value).value_or(2'000));
    else if (key == "plan_mishap")
      hint.plan_mishap = mishap_named(value);
    else if (key == "on_attempt")
      read(value, -1, 255, hint.on_attempt);
  }
  return hint;
}

}  // namespace sablelink::nodes
