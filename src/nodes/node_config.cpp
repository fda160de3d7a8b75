#include "nodes/node_config.h"

#include <charconv>

#include "config/section.h"

namespace sablelink::nodes {

using config::Section;

const std::vector<std::pair<std::string, FaultKind>>& fault_kind_names() {
  static const std::vector<std::pair<std::string, FaultKind>> kNames = {
      {"hang", FaultKind::kHang},
      {"errors", FaultKind::kErrors},
      {"lost_answers", FaultKind::kLostResponses},
      {"slow", FaultKind::kSlow},
      {"stale_reports", FaultKind::kStaleReports},
      {"refuse", FaultKind::kReject},
      {"memory_short", FaultKind::kMemoryPressure}};
  return kNames;
}

NodeConfig parse_node_config(std::string_view text, const std::string& file) {
  Section root = Section::parse(text, file);
  NodeConfig config;
  Section node = root.table("node");
  config.name = node.string("name");
  config.listen = node.string("listen");
  config.record_path = node.string("record", "");
  config.honors_grants = node.boolean("grants", false);
  config.progress_interval_us = node.duration("progress_every", 0);
  config.load_report_interval_us = node.duration("report_every", config.load_report_interval_us);
  config.batch_bytes = node.byte_size("batch_bytes", config.batch_bytes);
  node.reject_unknown_keys();
  Section section = root.table("engine");
  EngineSettings& engine = config.engine;
  engine.cores = section.number("cores", 0.1, 10'000, engine.cores);
  engine.memory_mb =
      static_cast<double>(section.byte_size("memory", static_cast<size_t>(engine.memory_mb) << 20)) /
      (1 << 20);
  engine.full_speed_io_threads = section.number("disks", 0.1, 10'000, engine.cores);
  engine.sessions_per_core = section.number("sessions_per_core", 0.01, 10'000, engine.sessions_per_core);
  engine.peak_threads_per_core = section.number("peak_threads", 0.1, 100, engine.peak_threads_per_core);
  engine.max_cached_groups =
      section.integer("warm_groups", 0, 10'000, static_cast<int64_t>(engine.max_cached_groups));
  engine.cached_io_saving = section.number("warm_saves", 0, 1, engine.cached_io_saving);
  engine.max_spill_factor = section.number("spill_cost", 1, 1000, engine.max_spill_factor);
  engine.slow_start_min_capacity_fraction =
      section.number("cold_from", 0.01, 1, engine.slow_start_min_capacity_fraction);
  engine.slow_start_duration_us = section.duration("warm_after", 0);
  engine.collapse_load_multiple = section.number("fall_multiple", 0, 1000, 0);
  engine.collapse_window_us = section.duration("fall_after", 0);
  section.reject_unknown_keys();
  for (Section& entry : root.tables("fault")) {
    Fault fault;
    fault.kind = entry.one_of<FaultKind>("kind", fault_kind_names(), std::nullopt);
    fault.start_us = entry.duration("from");
    fault.duration_us = entry.duration("for");
    fault.value = entry.number("value", 0.001, 1000, 1);
    entry.reject_unknown_keys();
    config.faults.push_back(fault);
  }
  root.reject_unknown_keys();
  return config;
}

namespace {

using HintFault = StatementHint::HintFault;

HintFault statement_fault_by_name(std::string_view name) {
  if (name == "error") return HintFault::kError;
  if (name == "statement") return HintFault::kInvalidStatement;
  if (name == "refuse") return HintFault::kReject;
  if (name == "hang") return HintFault::kHang;
  if (name == "lost") return HintFault::kLostResponse;
  if (name == "reset") return HintFault::kReset;
  if (name == "break") return HintFault::kBreakStream;
  return HintFault::kNone;
}

template <typename T>
void read_number(std::string_view text, T low, T high, T& out) {
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
    const size_t separator = item.find('=');
    if (separator == std::string_view::npos) continue;
    const std::string_view key = item.substr(0, separator);
    const std::string_view value = item.substr(separator + 1);
    if (key == "work")
      hint.work_us = static_cast<double>(config::parse_duration(value).value_or(5'000));
    else if (key == "threads")
      read_number(value, 0.1, 1000.0, hint.threads);
    else if (key == "io")
      read_number(value, 0.0, 1.0, hint.io_fraction);
    else if (key == "memory")
      read_number(value, 0.0, 1e9, hint.memory_mb);
    else if (key == "rows")
      read_number<int64_t>(value, 0, 100'000'000, hint.rows);
    else if (key == "row_bytes")
      read_number<size_t>(value, 0, 1 << 20, hint.min_text_bytes);
    else if (key == "mishap")
      hint.fault = statement_fault_by_name(value);
    else if (key == "valid_at")
      hint.valid_node = value;
    else if (key == "plan")
      hint.plan_work_us = static_cast<double>(config::parse_duration(value).value_or(2'000));
    else if (key == "plan_mishap")
      hint.plan_fault = statement_fault_by_name(value);
    else if (key == "on_attempt")
      read_number(value, -1, 255, hint.on_attempt);
  }
  return hint;
}

}  // namespace sablelink::nodes
