#include "nodes/stand_in.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "base/async_event.h"
#include "flightsql/messages.h"
#include "flightsql/protocol.h"
#include "nodes/content.h"
#include "sablelink.pb.h"
#include "sql/statement.h"

namespace sablelink::nodes {
namespace {

using namespace flightsql;  // NOLINT: the stand-in speaks the same protocol
using rpc::Awaitable;
using rpc::Code;
using HintFault = StatementHint::HintFault;

constexpr int64_t kMaxBatchRows = 1024;
constexpr size_t kFixedRowBytes = 48;  // the approximate size of a row without its text column

// The schema of a statement's parameters. A stand-in node doesn't infer types, so all are strings.
std::string parameter_schema(const std::string& statement) {
  arrowipc::Schema schema;
  const size_t count = sql::count_parameters(statement);
  for (size_t i = 1; i <= count; ++i) {
    arrowipc::Field f;
    f.name = "parameter_" + std::to_string(i);
    f.type = arrowipc::Type::kUtf8;
    schema.fields.push_back(std::move(f));
  }
  return arrowipc::encapsulate(arrowipc::encode_schema(schema));
}

std::string plan_response(const std::string& statement, const arrowipc::Schema& schema,
                          bool as_prepared_statement) {
  const std::string dataset = arrowipc::encapsulate(arrowipc::encode_schema(schema));
  if (!as_prepared_statement) {
    flight::SchemaResult result;
    result.set_schema(dataset);
    return result.SerializeAsString();
  }
  fsql::ActionCreatePreparedStatementResult created;
  created.set_prepared_statement_handle(statement);
  created.set_dataset_schema(dataset);
  created.set_parameter_schema(parameter_schema(statement));
  flight::Result result;
  result.set_body(pack(created));
  return result.SerializeAsString();
}

}  // namespace

// The execution or planning of one statement, and its call.
struct StandIn::Run {
  uint64_t id = 0;
  CallPtr call;
  StatementHint hint;
  std::string request, tag;
  int attempt = 0;
  bool is_update = false;
  bool streams_progress = false;
  bool work_started = false, work_completed = false, cancelled = false;
  AsyncEvent state_changed;
  std::vector<wire::ProgressNote> progress_notes;
};

StandIn::StandIn(NodeConfig config, Clock& clock, Recorder* recorder, std::shared_ptr<TableCatalog> tables)
    : config_(std::move(config)),
      clock_(clock),
      recorder_(recorder),
      tables_(tables ? std::move(tables) : std::make_shared<TableCatalog>()),
      started_at_(clock.now()),
      engine_(config_.engine, started_at_),
      faults_(config_.faults),
      self_(std::make_shared<StandIn*>(this)) {
  if (recorder_ != nullptr) {
    NodeEvent event;
    event.kind = NodeEvent::Kind::kStarted;
    event.at = started_at_;
    event.node = config_.name;
    recorder_->record(event);
  }
  report_ = engine_.report();
  for (const Fault& fault : faults_) {
    for (const TimeUs delay_us : {fault.start_us, fault.start_us + fault.duration_us})
      clock_.call_after(delay_us, [self = self_] {
        if (*self != nullptr) (*self)->apply_faults();
      });
  }
}

StandIn::~StandIn() { *self_ = nullptr; }

bool StandIn::has_active_fault(FaultKind kind) const {
  const TimeUs age = clock_.now() - started_at_;
  return std::any_of(faults_.begin(), faults_.end(),
                     [&](const Fault& f) { return f.kind == kind && f.is_active_at(age); });
}

void StandIn::begin_fault(FaultKind kind, TimeUs duration_us, double value) {
  faults_.push_back({kind, clock_.now() - started_at_, duration_us, value});
  apply_faults();
  clock_.call_after(duration_us, [self = self_] {
    if (*self != nullptr) (*self)->apply_faults();
  });
}

void StandIn::apply_faults() {
  const TimeUs age = clock_.now() - started_at_;
  double slowdown = 1;
  double memory_fraction = 1;
  for (const Fault& f : faults_) {
    if (!f.is_active_at(age)) continue;
    if (f.kind == FaultKind::kSlow) slowdown = std::max(slowdown, f.value);
    if (f.kind == FaultKind::kMemoryPressure) memory_fraction = std::min(memory_fraction, f.value);
  }
  advance_engine();
  engine_.set_slowdown(clock_.now(), slowdown);
  engine_.set_memory(clock_.now(), config_.engine.memory_mb * memory_fraction);
  schedule_completion();
}

void StandIn::record(const Run& run, NodeEvent::Kind kind, NodeEvent::End end) {
  if (recorder_ == nullptr) return;
  NodeEvent event;
  event.kind = kind;
  event.at = clock_.now();
  event.node = config_.name;
  event.request = run.request;
  event.tag = run.tag;
  event.attempt = run.attempt;
  event.update = run.is_update;
  event.work_started = run.work_started;
  event.work_completed = run.work_completed;
  event.work_us = run.hint.work_us;
  event.end = end;
  recorder_->record(event);
}

LoadReport StandIn::current_report() {
  const TimeUs now = clock_.now();
  if (now - report_refreshed_at_ >= config_.load_report_interval_us &&
      !has_active_fault(FaultKind::kStaleReports)) {
    report_ = engine_.report();
    report_refreshed_at_ = now;
  }
  return report_;
}

// ---- Timers of the engine model and of progress notes

void StandIn::schedule_completion() {
  const std::optional<TimeUs> next_completion = engine_.next_completion();
  if (!next_completion || (completion_timer_at_ != 0 && completion_timer_at_ <= *next_completion)) return;
  completion_timer_at_ = *next_completion;
  clock_.call_after(std::max<TimeUs>(*next_completion - clock_.now(), 0),
                    [self = self_, at = *next_completion] {
                      StandIn* const node = *self;
                      if (node == nullptr || node->completion_timer_at_ != at) return;
                      node->completion_timer_at_ = 0;
                      node->advance_engine();
                      node->schedule_completion();
                    });
}

void StandIn::advance_engine() {
  for (const uint64_t id : engine_.advance(clock_.now())) {
    const auto it = runs_.find(id);
    if (it == runs_.end()) continue;
    const std::shared_ptr<Run> run = it->second;
    runs_.erase(it);
    run->work_completed = true;
    run->state_changed.set();
  }
}

void StandIn::schedule_progress_notes() {
  if (progress_timer_pending_ || config_.progress_interval_us <= 0) return;
  progress_timer_pending_ = true;
  clock_.call_after(config_.progress_interval_us, [self = self_] {
    StandIn* const node = *self;
    if (node == nullptr) return;
    node->progress_timer_pending_ = false;
    node->advance_engine();
    for (const auto& [id, run] : node->runs_) {
      wire::ProgressNote note;
      note.set_kind(node->engine_.is_queued(id) ? wire::ProgressNote::WAIT : wire::ProgressNote::PROGRESS);
      note.set_value(node->engine_.is_queued(id) ? 1 : node->engine_.progress(id).value_or(0));
      run->progress_notes.assign(1, note);
      run->state_changed.set();
    }
    if (!node->runs_.empty()) node->schedule_progress_notes();
  });
}

// ---- Calls

Awaitable<void> StandIn::finish(CallPtr call, rpc::Status status, std::optional<std::string> final_message,
                                const Run* run) {
  NodeReport report;
  report.load = current_report();
  if (run != nullptr && status.ok()) {
    report.work_us = run->hint.work_us;
    report.memory_used_mb = run->hint.memory_mb;
  }
  rpc::Metadata trailers;
  trailers.emplace_back(kLoadReportKey, encode_load_report(report));
  co_await call->finish(std::move(status), std::move(trailers), std::move(final_message));
}

Awaitable<void> StandIn::handle(CallPtr call) {
  const std::string_view method =
      std::string_view(call->method()).substr(std::min(kServicePrefix.size(), call->method().size()));
  std::optional<std::string> message = co_await call->read();
  std::string problem = "malformed call";
  if (message && method == "GetFlightInfo") {
    flight::FlightDescriptor descriptor;
    google::protobuf::Any any;
    fsql::CommandStatementQuery command;
    if (has_active_fault(FaultKind::kHang)) {  // a hanging node doesn't respond to this call either
      AsyncEvent never;
      call->on_cancelled([&never] { never.set(); });
      co_await never.wait();
      co_return;
    }
    if (descriptor.ParseFromString(*message) && any.ParseFromString(descriptor.cmd())) {
      flight::FlightInfo info;
      *info.mutable_flight_descriptor() = descriptor;
      if (any.UnpackTo(&command)) {
        fsql::TicketStatementQuery ticket;
        ticket.set_statement_handle(command.query());
        info.add_endpoint()->mutable_ticket()->set_ticket(pack(ticket));
      }
      std::optional<std::string> final_message = info.SerializeAsString();
      rpc::Status status;
      co_await finish(call, std::move(status), std::move(final_message), nullptr);
      co_return;
    }
  } else if (message && method == "DoGet") {
    flight::Ticket ticket;
    google::protobuf::Any any;
    fsql::TicketStatementQuery handle;
    if (ticket.ParseFromString(*message) && any.ParseFromString(ticket.ticket()) && any.UnpackTo(&handle)) {
      co_await execute(call, handle.statement_handle(), dispatch::ExecutionKind::kQuery, false);
      co_return;
    }
  } else if (message && method == "DoPut") {
    flight::FlightData data;
    google::protobuf::Any any;
    fsql::CommandStatementUpdate command;
    if (data.ParseFromString(*message) && any.ParseFromString(data.flight_descriptor().cmd()) &&
        any.UnpackTo(&command)) {
      co_await execute(call, command.query(), dispatch::ExecutionKind::kUpdate, false);
      co_return;
    }
  } else if (message && method == "GetSchema") {
    flight::FlightDescriptor descriptor;
    google::protobuf::Any any;
    fsql::CommandStatementQuery command;
    if (descriptor.ParseFromString(*message) && any.ParseFromString(descriptor.cmd()) &&
        any.UnpackTo(&command)) {
      co_await execute(call, command.query(), dispatch::ExecutionKind::kPlan, false);
      co_return;
    }
  } else if (message && method == "DoAction") {
    flight::Action action;
    google::protobuf::Any any;
    fsql::ActionCreatePreparedStatementRequest request;
    if (action.ParseFromString(*message) && any.ParseFromString(action.body())) {
      if (any.UnpackTo(&request)) {
        co_await execute(call, request.query(), dispatch::ExecutionKind::kPlan, true);
        co_return;
      }
      if (any.Is<fsql::ActionClosePreparedStatementRequest>()) {
        rpc::Status closed;
        std::optional<std::string> nothing;
        co_await finish(call, std::move(closed), std::move(nothing), nullptr);
        co_return;
      }
    }
  } else {
    problem = "method " + call->method() + " is not served";
  }
  rpc::Status status = make_error(Code::kUnimplemented, problem);
  std::optional<std::string> none;
  co_await finish(call, std::move(status), std::move(none), nullptr);
}

// Waits until the engine has completed the work and streams progress notes in the meantime. Returns false if
// the call is cancelled before.
Awaitable<bool> StandIn::wait_for_completion(std::shared_ptr<Run> run) {
  while (!run->work_completed && !run->cancelled) {
    for (const wire::ProgressNote& note : std::exchange(run->progress_notes, {})) {
      flight::FlightData data;
      data.set_app_metadata(note.SerializeAsString());
      if (!run->streams_progress) continue;  // only the streams of DoGet can carry progress notes
      std::string bytes = data.SerializeAsString();
      co_await run->call->write(std::move(bytes));
    }
    if (!run->work_completed && !run->cancelled) co_await run->state_changed.wait();
  }
  co_return !run->cancelled;
}

Awaitable<void> StandIn::execute(CallPtr call, std::string statement, dispatch::ExecutionKind kind,
                                 bool as_prepared_statement) {
  const bool is_update = kind == dispatch::ExecutionKind::kUpdate;
  const bool is_plan = kind == dispatch::ExecutionKind::kPlan;
  const rpc::Metadata& metadata = call->metadata();
  const auto run = std::make_shared<Run>();
  run->id = ++last_run_id_;
  run->call = call;
  run->hint = read_hint(statement);
  if (is_plan) {
    run->hint.work_us = run->hint.plan_work_us;
    run->hint.threads = run->hint.memory_mb = 1;
    run->hint.io_fraction = 0;
    run->hint.fault = run->hint.plan_fault;
  }
  if (!run->hint.valid_node.empty() && run->hint.valid_node != config_.name)
    run->hint.fault = HintFault::kInvalidStatement;
  run->request = rpc::find_value(metadata, kRequestKey);
  run->tag = rpc::find_value(metadata, kClientTagKey);
  run->attempt = find_number(metadata, kAttemptKey, 0);
  run->is_update = is_update;
  run->streams_progress = kind == dispatch::ExecutionKind::kQuery;
  if (run->hint.on_attempt >= 0 && run->hint.on_attempt != run->attempt) run->hint.fault = HintFault::kNone;
  HintFault fault = run->hint.fault;
  if (has_active_fault(FaultKind::kHang))
    fault = HintFault::kHang;
  else if (has_active_fault(FaultKind::kErrors))
    fault = HintFault::kError;
  else if (has_active_fault(FaultKind::kReject))
    fault = HintFault::kReject;
  else if (has_active_fault(FaultKind::kLostResponses))
    fault = HintFault::kLostResponse;

  advance_engine();
  record(*run, NodeEvent::Kind::kArrived, NodeEvent::End::kAnswered);
  call->on_cancelled([this, self = self_, run] {
    run->cancelled = true;
    if (*self != nullptr) {
      engine_.remove(clock_.now(), run->id);
      runs_.erase(run->id);
      schedule_completion();
    }
    run->state_changed.set();
  });

  NodeEvent::End end = NodeEvent::End::kAnswered;
  rpc::Status status;
  std::optional<std::string> final_message;
  bool never_respond = false;
  if (fault == HintFault::kHang) {
    never_respond = true;
  } else if (fault == HintFault::kReject || draining_) {
    end = NodeEvent::End::kRejected;
    status = make_error(Code::kResourceExhausted, draining_ ? "draining" : "not admitted", kNodeDomain,
                        kNotAdmitted);
  } else if (fault == HintFault::kInvalidStatement) {
    end = NodeEvent::End::kError;
    status = make_error(Code::kInvalidArgument, "syntax error in: " + statement.substr(0, 60));
  } else if (has_active_fault(FaultKind::kErrors)) {
    run->work_started = true;
    end = NodeEvent::End::kError;
    status = make_error(Code::kInternal, "the node is out of order");
  } else {
    nodes::Job job;
    job.id = run->id;
    job.work_us = run->hint.work_us;
    job.threads = run->hint.threads;
    job.io_fraction = run->hint.io_fraction;
    job.memory_mb = run->hint.memory_mb;
    job.priority = std::clamp(find_number(metadata, kPriorityKey, 1), 0, 3);
    if (config_.honors_grants) job.grant_mb = std::max(find_number(metadata, kMemoryGrantKey, 0.0), 0.0);
    const sql::StatementInfo info = sql::analyze_statement(statement);
    if (!info.tables.empty())
      job.table_group = static_cast<int64_t>(XXH3_64bits(info.tables[0].data(), info.tables[0].size()) >> 33);
    const bool had_collapsed = engine_.collapsed();
    if (engine_.admit(clock_.now(), job) == Admission::kTooManySessions) {
      end = NodeEvent::End::kRejected;
      status = make_error(Code::kResourceExhausted, "too many sessions", kNodeDomain, kNotAdmitted);
    } else {
      run->work_started = true;
      runs_[run->id] = run;
      schedule_completion();
      schedule_progress_notes();
    }
    if (engine_.collapsed() && !had_collapsed) record(*run, NodeEvent::Kind::kCollapsed, end);
    if (run->work_started) {
      if (fault == HintFault::kReset) {  // after half of the work
        const auto half_us = static_cast<TimeUs>(run->hint.work_us / run->hint.threads / 2);
        clock_.call_after(half_us, [run] { run->state_changed.set(); });
        co_await run->state_changed.wait();
        advance_engine();
        engine_.remove(clock_.now(), run->id);
        runs_.erase(run->id);
        schedule_completion();
        record(*run, NodeEvent::Kind::kEnded, NodeEvent::End::kReset);
        co_return;  // a call that is destroyed without finish() is reset
      }
      const bool completed = co_await wait_for_completion(run);
      if (completed) {
        if (engine_.collapsed() || fault == HintFault::kLostResponse) {
          never_respond = true;
        } else if (fault == HintFault::kError) {
          end = NodeEvent::End::kError;
          status = make_error(Code::kInternal, "the query failed");
        } else if (is_update) {
          tables_->apply_definition(statement);
          fsql::DoPutUpdateResult result;
          result.set_record_count(run->hint.rows);
          flight::PutResult put;
          put.set_app_metadata(result.SerializeAsString());
          final_message = put.SerializeAsString();
        } else if (is_plan) {
          final_message = plan_response(statement, content_of(statement).schema(), as_prepared_statement);
        } else {
          const bool sent = co_await send_rows(call, content_of(statement), fault == HintFault::kBreakStream);
          if (!sent) {
            record(*run, NodeEvent::Kind::kEnded,
                   run->cancelled ? NodeEvent::End::kCancelled : NodeEvent::End::kReset);
            co_return;
          }
        }
      }
    }
  }
  while (never_respond && !run->cancelled) co_await run->state_changed.wait();
  if (run->cancelled) end = NodeEvent::End::kCancelled;
  record(*run, NodeEvent::Kind::kEnded, end);
  if (!run->cancelled) co_await finish(call, std::move(status), std::move(final_message), run.get());
}

Content StandIn::content_of(const std::string& statement) const {
  const sql::StatementInfo info = sql::analyze_statement(statement);
  return Content(statement, info.tables.empty() ? 0 : tables_->added_column_count(info.tables[0]));
}

Awaitable<bool> StandIn::send_rows(CallPtr call, Content content, bool reset_after_first_batch) {
  std::string bytes = encode_flight_data(arrowipc::encode_schema(content.schema()));
  bool written = co_await call->write(std::move(bytes));
  int64_t rows_sent = 0;
  const auto batch_rows = std::clamp<int64_t>(
      static_cast<int64_t>(config_.batch_bytes / (content.min_text_bytes() + kFixedRowBytes)), 1,
      kMaxBatchRows);
  do {
    const int64_t count = std::min(batch_rows, content.rows() - rows_sent);
    bytes = encode_flight_data(arrowipc::encode_batch(content.schema(), content.batch(rows_sent, count)));
    if (written) written = co_await call->write(std::move(bytes));
    rows_sent += count;
  } while (written && !reset_after_first_batch && rows_sent < content.rows());
  co_return written && !reset_after_first_batch;
}

}  // namespace sablelink::nodes
