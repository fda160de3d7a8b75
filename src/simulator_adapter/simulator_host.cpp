#include "simulator_adapter/simulator_host.h"

#include <utility>

#include "workload/settings_parser.h"

namespace sablelink::simulator_adapter {

std::string SimulatorHost::handle_batch(TimeUs now, std::string_view body) {
  FrameReader in(body);
  const uint32_t records = in.u32();
  selected_id_.reset();
  for (uint32_t i = 0; i < records; ++i) {
    const auto code = static_cast<EventCode>(in.u8());
    handle_record(now, code, in);
  }
  if (!in.empty()) throw ProtocolError("wire: batch is longer than its records");
  return reply_.take_frame();
}

uint16_t SimulatorHost::selected_instance_id() const {
  if (!selected_id_) throw ProtocolError("wire: event before any switch_to");
  return *selected_id_;
}

SimulatorHost::Instance* SimulatorHost::selected_instance() {
  const auto it = instances_.find(selected_instance_id());
  return it == instances_.end() ? nullptr : &it->second;
}

void SimulatorHost::handle_record(TimeUs now, EventCode code, FrameReader& in) {
  switch (code) {
    case EventCode::kInstanceSelected:
      selected_id_ = in.u16();
      reply_.select_instance(*selected_id_);
      break;
    case EventCode::kEndpointListDefinition:
      define_endpoint_list(in);
      break;
    case EventCode::kInstanceStarted:
      start_instance(now, in);
      break;
    case EventCode::kInstanceTerminated:
      instances_.erase(selected_instance_id());
      break;
    default:
      handle_event(now, code, in, selected_instance());
      break;
  }
}

void SimulatorHost::start_instance(TimeUs now, FrameReader& in) {
  const uint64_t seed = in.u64();
  const uint32_t settings_bytes = in.u32();
  const std::string_view settings_text = in.bytes(settings_bytes);
  const uint16_t id = selected_instance_id();
  Settings settings = parse_settings(settings_text);
  const bool engines_report_cost = settings.engines_report_cost;
  instances_.erase(id);
  const auto [it, inserted] =
      instances_.emplace(id, Instance{WorkloadManager(std::move(settings), seed), engines_report_cost,
                                      parse_load_report_fields(settings_text)});
  it->second.workload_manager.on_start(now, reply_);
}

void SimulatorHost::define_endpoint_list(FrameReader& in) {
  const uint8_t list = in.u8();
  if (list >= kEndpointLists) throw ProtocolError("wire: ledger number out of range");
  endpoint_lists_[list] = read_endpoints(in);
}

void SimulatorHost::handle_event(TimeUs now, EventCode code, FrameReader& in, Instance* instance) {
  switch (code) {
    case EventCode::kEndpointsChanged:
      on_endpoints_changed(now, in, instance);
      break;
    case EventCode::kRequest:
      on_request(now, in, instance);
      break;
    case EventCode::kResponseStarted:
      on_response_started(now, in, instance);
      break;
    case EventCode::kAttemptCompleted:
      on_attempt_completed(now, in, instance);
      break;
    case EventCode::kClientDisconnected:
      on_client_disconnected(now, in, instance);
      break;
    case EventCode::kTimer:
      on_timer(now, in, instance);
      break;
    case EventCode::kHealthCheckCompleted:
      on_health_check_completed(now, in, instance);
      break;
    case EventCode::kGossip:
      on_gossip(now, in, instance);
      break;
    case EventCode::kProgress:
      on_progress(now, in, instance);
      break;
    default:
      throw ProtocolError("wire: unknown record code " + std::to_string(static_cast<int>(code)));
  }
}

void SimulatorHost::on_endpoints_changed(TimeUs now, FrameReader& in, Instance* instance) {
  const uint8_t list = in.u8();
  in.u32();  // The list's version is ignored: updates arrive in order and without gaps.
  const EndpointUpdateKind kind = read_endpoint_update_kind(in);
  // An update that reports a failure has no list, and its list number is undefined.
  static const std::vector<Endpoint> kNoEndpoints;
  const bool has_list = kind != EndpointUpdateKind::kFailed;
  if (has_list && list >= kEndpointLists) throw ProtocolError("wire: ledger number out of range");
  if (instance == nullptr) return;
  const std::vector<Endpoint>& endpoints = has_list ? endpoint_lists_[list] : kNoEndpoints;
  instance->workload_manager.on_endpoints_changed(now, kind, endpoints, reply_);
}

void SimulatorHost::on_request(TimeUs now, FrameReader& in, Instance* instance) {
  const QueryRequest request = read_request(in);
  if (instance != nullptr) instance->workload_manager.on_request(now, request, reply_);
}

void SimulatorHost::on_response_started(TimeUs now, FrameReader& in, Instance* instance) {
  const RequestId id = in.u32();
  const int attempt = in.u8();
  in.engine_id();
  in.u32();  // time since the attempt was sent
  if (instance != nullptr) instance->workload_manager.on_response_started(now, id, attempt, reply_);
}

void SimulatorHost::on_attempt_completed(TimeUs now, FrameReader& in, Instance* instance) {
  const bool reports_cost = instance != nullptr && instance->engines_report_cost;
  const AttemptCompletion completion =
      read_attempt_completion(in, reports_cost, load_report_fields(instance));
  if (instance != nullptr) instance->workload_manager.on_attempt_completed(now, completion, reply_);
}

void SimulatorHost::on_client_disconnected(TimeUs now, FrameReader& in, Instance* instance) {
  const RequestId id = in.u32();
  if (instance != nullptr) instance->workload_manager.on_client_disconnected(now, id, reply_);
}

void SimulatorHost::on_timer(TimeUs now, FrameReader& in, Instance* instance) {
  const uint32_t token = in.u32();
  if (instance != nullptr) instance->workload_manager.on_timer(now, token, reply_);
}

void SimulatorHost::on_health_check_completed(TimeUs now, FrameReader& in, Instance* instance) {
  const EngineId engine = in.engine_id();
  const Outcome outcome = read_outcome(in);
  const uint32_t duration_us = in.u32();
  const std::optional<LoadReport> report = read_load_report(in, load_report_fields(instance));
  if (instance == nullptr) return;
  instance->workload_manager.on_health_check_completed(now, engine, outcome, duration_us, report, reply_);
}

void SimulatorHost::on_gossip(TimeUs now, FrameReader& in, Instance* instance) {
  const uint16_t sender = in.u16();
  const uint16_t message_bytes = in.u16();
  const std::string_view message = in.bytes(message_bytes);
  if (instance != nullptr) instance->workload_manager.on_gossip(now, sender, message, reply_);
}

void SimulatorHost::on_progress(TimeUs now, FrameReader& in, Instance* instance) {
  const ProgressUpdate update = read_progress(in);
  if (instance != nullptr) instance->workload_manager.on_progress(now, update, reply_);
}

const std::vector<std::string>& SimulatorHost::load_report_fields(const Instance* instance) {
  static const std::vector<std::string> kNoFields;
  return instance == nullptr ? kNoFields : instance->load_report_fields;
}

}  // namespace sablelink::simulator_adapter
