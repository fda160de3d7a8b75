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
using Mishap = StatementHint::Mishap;

constexpr int64_t kMostBatchRows = 1024;
constexpr size_t kRowBytes = 48;  // of a row beside its text, about

// The parameters of a statement, as far as a stand-in knows types: all texts.
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

std::string plan_answer(const std::string& statement, const arrowipc::Schema& schema, bool prepares) {
  const std::string dataset = arrowipc::encapsulate(arrowipc::encode_schema(schema));
  if (!prepares) {
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

struct StandIn::Job {
  uint64_t id = 0;
  CallPtr call;
  StatementHint hint;
  std::string request, tag;
  int attempt = 0;
  bool update = false;
  bool notes_go = false;
  bool ran = false, done = false, cancelled = false;
  AsyncEvent changed;
  std::vector<wire::ProgressNote> notes;
};

StandIn::StandIn(NodeConfig config, Clock& clock, Recorder* recorder, std::shared_ptr<Tables> tables)
    : config_(std::move(config)),
      clock_(clock),
      recorder_(recorder),
      tables_(tables ? std::move(tables) : std::make_shared<Tables>()),
      started_(clock.now()),
      engine_(config_.engine, started_),
      faults_(config_.faults),
      self_(std::make_shared<StandIn*>(this)) {
  if (recorder_ != nullptr) {
    NodeEvent event;
    event.kind = NodeEvent::Kind::kStarted;
    event.at = started_;
    event.node = config_.name;
    recorder_->record(event);
  }
  report_ = engine_.report();
  for (const Fault& fault : faults_) {
    for (const TimeUs at : {fault.from_us, fault.from_us + fault.for_us})
      clock_.call_after(at, [self = self_] {
        if (*self != nullptr) (*self)->apply_faults();
      });
  }
}

StandIn::~StandIn() { *self_ = nullptr; }

bool StandIn::struck_by(FaultKind kind) const {
  const TimeUs age = clock_.now() - started_;
  return std::any_of(faults_.begin(), faults_.end(),
                     [&](const Fault& f) { return f.kind == kind && f.holds_at(age); });
}

void StandIn::begin_fault(FaultKind kind, TimeUs for_us, double value) {
  faults_.push_back({kind, clock_.now() - started_, for_us, value});
  apply_faults();
  clock_.call_after(for_us, [self = self_] {
    if (*self != nullptr) (*self)->apply_faults();
  });
}

void StandIn::apply_faults() {
  const TimeUs age = clock_.now() - started_;
  double slow = 1;
  double memory = 1;
  for (const Fault& f : faults_) {
    if (!f.holds_at(age)) continue;
    if (f.kind == FaultKind::kSlow) slow = std::max(slow, f.value);
    if (f.kind == FaultKind::kMemoryShort) memory = std::min(memory, f.value);
  }
  run_engine();
  engine_.set_slow(clock_.now(), slow);
  engine_.set_memory(clock_.now(), config_.engine.memory_mb * memory);
  schedule();
}

void StandIn::record(const Job& job, NodeEvent::Kind kind, NodeEvent::End end) {
  if (recorder_ == nullptr) return;
  NodeEvent event;
  event.kind = kind;
  event.at = clock_.now();
  event.node = config_.name;
  event.request = job.request;
  event.tag = job.tag;
  event.attempt = job.attempt;
  event.update = job.update;
  event.ran = job.ran;
  event.done = job.done;
  event.work_us = job.hint.work_us;
  event.end = end;
  recorder_->record(event);
}

LoadReport StandIn::reported() {
  const TimeUs now = clock_.now();
  if (now - report_at_ >= config_.report_every_us && !struck_by(FaultKind::kStaleReports)) {
    report_ = engine_.report();
    report_at_ = now;
  }
  return report_;
}

// ---- Time

void StandIn::schedule() {
  const std::optional<TimeUs> next = engine_.next_end();
  if (!next || (armed_for_ != 0 && armed_for_ <= *next)) return;
  armed_for_ = *next;
  clock_.call_after(std::max<TimeUs>(*next - clock_.now(), 0), [self = self_, at = *next] {
    StandIn* const node = *self;
    if (node == nullptr || node->armed_for_ != at) return;
    node->armed_for_ = 0;
    node->run_engine();
    node->schedule();
  });
}

void StandIn::run_engine() {
  for (const uint64_t id : engine_.advance(clock_.now())) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) continue;
    const std::shared_ptr<Job> job = it->second;
    jobs_.erase(it);
    job->done = true;
    job->changed.set();
  }
}

void StandIn::schedule_notes() {
  if (notes_armed_ || config_.progress_every_us <= 0) return;
  notes_armed_ = true;
  clock_.call_after(config_.progress_every_us, [self = self_] {
    StandIn* const node = *self;
    if (node == nullptr) return;
    node->notes_armed_ = false;
    node->run_engine();
    for (const auto& [id, job] : node->jobs_) {
      wire::ProgressNote note;
      note.set_kind(node->engine_.waiting(id) ? wire::ProgressNote::WAIT : wire::ProgressNote::PROGRESS);
      note.set_value(node->engine_.waiting(id) ? 1 : node->engine_.progress(id).value_or(0));
      job->notes.assign(1, note);
      job->changed.set();
    }
    if (!node->jobs_.empty()) node->schedule_notes();
  });
}

// ---- Calls

Awaitable<void> StandIn::finish(CallPtr call, rpc::Status status, std::optional<std::string> last,
                                const Job* job) {
  NodeReport report;
  report.load = reported();
  if (job != nullptr && status.ok()) {
    report.work_us = job->hint.work_us;
    report.memory_used_mb = job->hint.memory_mb;
  }
  rpc::Metadata trailers;
  trailers.emplace_back(kLoadReportKey, encode_load_report(report));
  co_await call->finish(std::move(status), std::move(trailers), std::move(last));
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
    if (struck_by(FaultKind::kHang)) {  // hung: not even this is answered
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
      std::optional<std::string> last = info.SerializeAsString();
      rpc::Status status;
      co_await finish(call, std::move(status), std::move(last), nullptr);
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

// Runs the job in the engine until it is done, or false where the call is over before.
Awaitable<bool> StandIn::work(std::shared_ptr<Job> job) {
  while (!job->done && !job->cancelled) {
    for (const wire::ProgressNote& note : std::exchange(job->notes, {})) {
      flight::FlightData data;
      data.set_app_metadata(note.SerializeAsString());
      if (!job->notes_go) continue;  // streams of other calls than DoGet have no room for notes
      std::string bytes = data.SerializeAsString();
      co_await job->call->write(std::move(bytes));
    }
    if (!job->done && !job->cancelled) co_await job->changed.wait();
  }
  co_return !job->cancelled;
}

Awaitable<void> StandIn::execute(CallPtr call, std::string statement, dispatch::ExecutionKind task,
                                 bool prepares) {
  const bool update = task == dispatch::ExecutionKind::kUpdate;
  const bool plans = task == dispatch::ExecutionKind::kPlan;
  const rpc::Metadata& metadata = call->metadata();
  const auto job = std::make_shared<Job>();
  job->id = ++last_job_;
  job->call = call;
  job->hint = read_hint(statement);
  if (plans) {
    job->hint.work_us = job->hint.plan_us;
    job->hint.threads = job->hint.memory_mb = 1;
    job->hint.io = 0;
    job->hint.mishap = job->hint.plan_mishap;
  }
  if (!job->hint.valid_at.empty() && job->hint.valid_at != config_.name)
    job->hint.mishap = Mishap::kStatement;
  job->request = rpc::find_value(metadata, kRequestKey);
  job->tag = rpc::find_value(metadata, kClientTagKey);
  job->attempt = find_number(metadata, kAttemptKey, 0);
  job->update = update;
  job->notes_go = task == dispatch::ExecutionKind::kQuery;
  if (job->hint.on_attempt >= 0 && job->hint.on_attempt != job->attempt) job->hint.mishap = Mishap::kNone;
  Mishap mishap = job->hint.mishap;
  if (struck_by(FaultKind::kHang))
    mishap = Mishap::kHang;
  else if (struck_by(FaultKind::kErrors))
    mishap = Mishap::kError;
  else if (struck_by(FaultKind::kRefuse))
    mishap = Mishap::kRefuse;
  else if (struck_by(FaultKind::kLostAnswers))
    mishap = Mishap::kLostAnswer;

  run_engine();
  record(*job, NodeEvent::Kind::kArrived, NodeEvent::End::kAnswered);
  call->on_cancelled([this, self = self_, job] {
    job->cancelled = true;
    if (*self != nullptr) {
      engine_.remove(clock_.now(), job->id);
      jobs_.erase(job->id);
      schedule();
    }
    job->changed.set();
  });

  NodeEvent::End end = NodeEvent::End::kAnswered;
  rpc::Status status;
  std::optional<std::string> last;
  bool hung = false;
  if (mishap == Mishap::kHang) {
    hung = true;
  } else if (mishap == Mishap::kRefuse || draining_) {
    end = NodeEvent::End::kRefused;
    status = make_error(Code::kResourceExhausted, draining_ ? "draining" : "not admitted", kNodeDomain,
                        kNotAdmitted);
  } else if (mishap == Mishap::kStatement) {
    end = NodeEvent::End::kError;
    status = make_error(Code::kInvalidArgument, "syntax error in: " + statement.substr(0, 60));
  } else if (struck_by(FaultKind::kErrors)) {
    job->ran = true;
    end = NodeEvent::End::kError;
    status = make_error(Code::kInternal, "the node is out of order");
  } else {
    nodes::Job asked;
    asked.id = job->id;
    asked.work_us = job->hint.work_us;
    asked.threads = job->hint.threads;
    asked.io = job->hint.io;
    asked.memory_mb = job->hint.memory_mb;
    asked.priority = std::clamp(find_number(metadata, kPriorityKey, 1), 0, 3);
    if (config_.heeds_grants) asked.grant_mb = std::max(find_number(metadata, kMemoryGrantKey, 0.0), 0.0);
    const sql::StatementInfo info = sql::inspect(statement);
    if (!info.tables.empty())
      asked.group = static_cast<int64_t>(XXH3_64bits(info.tables[0].data(), info.tables[0].size()) >> 33);
    const bool had_fallen = engine_.fallen();
    if (engine_.admit(clock_.now(), asked) == Admission::kTooMany) {
      end = NodeEvent::End::kRefused;
      status = make_error(Code::kResourceExhausted, "too many sessions", kNodeDomain, kNotAdmitted);
    } else {
      job->ran = true;
      jobs_[job->id] = job;
      schedule();
      schedule_notes();
    }
    if (engine_.fallen() && !had_fallen) record(*job, NodeEvent::Kind::kFell, end);
    if (job->ran) {
      if (mishap == Mishap::kReset) {  // in the middle of the work
        const auto half = static_cast<TimeUs>(job->hint.work_us / job->hint.threads / 2);
        clock_.call_after(half, [job] { job->changed.set(); });
        co_await job->changed.wait();
        run_engine();
        engine_.remove(clock_.now(), job->id);
        jobs_.erase(job->id);
        schedule();
        record(*job, NodeEvent::Kind::kEnded, NodeEvent::End::kBroken);
        co_return;  // the call is left unfinished, and so broken off
      }
      const bool worked = co_await work(job);
      if (worked) {
        if (engine_.fallen() || mishap == Mishap::kLostAnswer) {
          hung = true;
        } else if (mishap == Mishap::kError) {
          end = NodeEvent::End::kError;
          status = make_error(Code::kInternal, "the query failed");
        } else if (update) {
          tables_->define(statement);
          fsql::DoPutUpdateResult result;
          result.set_record_count(job->hint.rows);
          flight::PutResult put;
          put.set_app_metadata(result.SerializeAsString());
          last = put.SerializeAsString();
        } else if (plans) {
          last = plan_answer(statement, content_of(statement).schema(), prepares);
        } else {
          const bool sent = co_await send_rows(call, content_of(statement), mishap == Mishap::kBreakStream);
          if (!sent) {
            record(*job, NodeEvent::Kind::kEnded,
                   job->cancelled ? NodeEvent::End::kCancelled : NodeEvent::End::kBroken);
            co_return;
          }
        }
      }
    }
  }
  while (hung && !job->cancelled) co_await job->changed.wait();
  if (job->cancelled) end = NodeEvent::End::kCancelled;
  record(*job, NodeEvent::Kind::kEnded, end);
  if (!job->cancelled) co_await finish(call, std::move(status), std::move(last), job.get());
}

Content StandIn::content_of(const std::string& statement) const {
  const sql::StatementInfo info = sql::inspect(statement);
  return Content(statement, info.tables.empty() ? 0 : tables_->added(info.tables[0]));
}

Awaitable<bool> StandIn::send_rows(CallPtr call, Content content, bool break_off) {
  std::string bytes = encode_flight_data(arrowipc::encode_schema(content.schema()));
  bool written = co_await call->write(std::move(bytes));
  int64_t sent = 0;
  const auto most = std::clamp<int64_t>(
      static_cast<int64_t>(config_.batch_bytes / (content.row_bytes() + kRowBytes)), 1, kMostBatchRows);
  do {
    const int64_t count = std::min(most, content.rows() - sent);
    bytes = encode_flight_data(arrowipc::encode_batch(content.schema(), content.batch(sent, count)));
    if (written) written = co_await call->write(std::move(bytes));
    sent += count;
  } while (written && !break_off && sent < content.rows());
  co_return written && !break_off;
}

}  // namespace sablelink::nodes
