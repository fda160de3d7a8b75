#include "simulator_adapter/simulator_host.h"

#include <utility>

#include "workload/settings_parser.h"

namespace sablelink::simulator_adapter {

std::string SimulatorHost::handle(TimeUs now, std::string_view body) {
  FrameReader in(body);
  const uint32_t records = in.u32();
  who_ = -1;
  for (uint32_t i = 0; i < records; ++i) handle_record(now, static_cast<EventCode>(in.u8()), in);
  if (!in.empty()) throw ProtocolError("wire: batch is longer than its records");
  return reply_.take_frame();
}

SimulatorHost::Instance* SimulatorHost::current() {
  if (who_ < 0) throw ProtocolError("wire: event before any switch_to");
  const auto it = instances_.find(static_cast<uint16_t>(who_));
  return it == instances_.end() ? nullptr : &it->second;
}

void SimulatorHost::open(TimeUs now, FrameReader& in) {
  const uint64_t seed = in.u64();
  const uint32_t n = in.u32();
  const std::string_view text = in.bytes(n);
  current();
  Settings settings = parse_settings(text);
  const bool tells_cost = settings.engines_report_cost;
  const auto id = static_cast<uint16_t>(who_);
  instances_.erase(id);
  const auto it = instances_.emplace(
      id, Instance{WorkloadManager(std::move(settings), seed), tells_cost, parse_load_report_fields(text)});
  it.first->second.gateway.on_start(now, reply_);
}

void SimulatorHost::handle_record(TimeUs now, EventCode code, FrameReader& in) {
  switch (code) {
    case EventCode::kSwitchTo:
      who_ = in.u16();
      reply_.act_for(static_cast<uint16_t>(who_));
      return;
    case EventCode::kLedger: {
      const uint8_t bank = in.u8();
      if (bank >= ledgers_.size()) throw ProtocolError("wire: ledger number out of range");
      ledgers_[bank] = read_entries(in);
      return;
    }
    case EventCode::kOpenInstance:
      return open(now, in);
    case EventCode::kKill:
      current();
      instances_.erase(static_cast<uint16_t>(who_));
      return;
    default:
      break;
  }
  // Events for an instance that isn't running are read and passed over.
  Instance* instance = current();
  static const std::vector<std::string> no_fields;
  const std::vector<std::string>& fields = instance ? instance->fields : no_fields;
  WorkloadManager* gateway = instance ? &instance->gateway : nullptr;
  switch (code) {
    case EventCode::kMembership: {
      const uint8_t bank = in.u8();
      in.u32();  // version: changes arrive in order and without gaps
      const uint8_t form = in.u8();
      if (form > 3) throw ProtocolError("wire: unknown form of list " + std::to_string(form));
      if (form != 3 && bank >= ledgers_.size()) throw ProtocolError("wire: ledger number out of range");
      static const std::vector<Endpoint> none;
      const std::vector<Endpoint>& entries = form == 3 ? none : ledgers_[bank];
      if (gateway) gateway->on_endpoints_changed(now, static_cast<EndpointUpdateKind>(form), entries, reply_);
      return;
    }
    case EventCode::kRequest: {
      const QueryRequest request = read_request(in);
      if (gateway) gateway->on_request(now, request, reply_);
      return;
    }
    case EventCode::kAckFirst: {
      const RequestId id = in.u32();
      const int attempt = in.u8();
      in.engine();
      in.u32();
      if (gateway) gateway->on_response_started(now, id, attempt, reply_);
      return;
    }
    case EventCode::kReturned: {
      const AttemptCompletion end = read_attempt_end(in, instance && instance->tells_cost, fields);
      if (gateway) gateway->on_attempt_completed(now, end, reply_);
      return;
    }
    case EventCode::kLeft: {
      const RequestId id = in.u32();
      if (gateway) gateway->on_client_disconnected(now, id, reply_);
      return;
    }
    case EventCode::kWakeup: {
      const uint32_t token = in.u32();
      if (gateway) gateway->on_timer(now, token, reply_);
      return;
    }
    case EventCode::kProbed: {
      const EngineId engine = in.engine();
      const Outcome outcome = read_outcome(in);
      const uint32_t took = in.u32();
      const std::optional<LoadReport> report = read_report(in, fields);
      if (gateway) gateway->on_health_check_completed(now, engine, outcome, took, report, reply_);
      return;
    }
    case EventCode::kHeard: {
      const uint16_t from = in.u16();
      const uint16_t n = in.u16();
      const std::string_view bytes = in.bytes(n);
      if (gateway) gateway->on_gossip(now, from, bytes, reply_);
      return;
    }
    case EventCode::kHintUpdate: {
      const ProgressUpdate note = read_progress(in);
      if (gateway) gateway->on_progress(now, note, reply_);
      return;
    }
    default:
      throw ProtocolError("wire: unknown record code " + std::to_string(static_cast<int>(code)));
  }
}

}  // namespace sablelink::simulator_adapter
