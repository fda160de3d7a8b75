// The columns of statements, as clients are told them before anything has run: from the store where answers
// or plans have shown them, else by a planning call, else not at all. One instance serves one gateway's
// front, on the dispatcher's strand; what is rationed is decided by schemas::PlanningCoordinator, where a
// call goes by the decision module.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/async_event.h"
#include "base/clock.h"
#include "base/log.h"
#include "dispatch/request_dispatcher.h"
#include "rpc/rpc.h"
#include "schemas/planning_coordinator.h"
#include "schemas/schema_cache.h"
#include "sql/statement.h"

namespace sablelink::flightsql {

class Columns {
 public:
  // life names this gateway's start in the tags of planning calls. The references must outlive it.
  Columns(const schemas::SchemaCacheLimits& store, const schemas::PlanningSettings& planning,
          int planning_class, uint64_t life, dispatch::RequestDispatcher& dispatcher, Clock& clock, Log& log);
  ~Columns();
  Columns(const Columns&) = delete;
  Columns& operator=(const Columns&) = delete;

  // Schemas are encapsulated Arrow IPC messages; empty: not known.
  struct Told {
    std::string dataset, parameters;
    dispatch::EngineError error;  // of an engine that says that the statement is at fault; code 0: none does
  };
  // For how the statement's class reaches engines, the key of its columns holds that class: another may be
  // bound to other engines, which may hold other tables.
  schemas::CachedStatement subject(const std::string& text, const sql::StatementInfo& info, int cls) const;

  // with_parameters: those columns are wanted too, where the statement has parameters. The wait ends with the
  // client's call, too.
  rpc::Awaitable<Told> tell(std::shared_ptr<rpc::ServerCall> call, std::string text, sql::StatementInfo info,
                            int cls, bool with_parameters);

  // What an answer's first message shows, to be compared with what was promised.
  enum class Seen { kNoSchema, kAsPromised, kOther };
  Seen answered(const schemas::CachedStatement& subject, const std::string& message, uint64_t promised,
                schemas::SchemaCache::ChangeCount asked);
  void defined(const std::vector<std::string>& tables) { store_.invalidate_tables(tables); }
  void forget_all() { store_.clear(); }
  schemas::SchemaCache::ChangeCount moment() const { return store_.change_count(); }
  // A hash of a schema's columns, for tickets; never 0 but for none.
  static uint64_t hash(const std::string& schema);

  const schemas::SchemaCache& store() const { return store_; }
  const schemas::PlanningCoordinator& planning() const { return planning_; }
  uint64_t changed() const { return changed_; }  // answers with another schema than was promised

 private:
  struct Call;
  class Sink;
  struct Waiting {
    AsyncEvent over;
    dispatch::EngineError error;
  };

  void ask(const std::string& key, const std::string& text, const schemas::CachedStatement& subject,
           const std::string& parameters_key);
  void ended(const std::string& key, const dispatch::EngineError& error);

  const schemas::PlanningSettings limits_;
  const int class_;
  const uint64_t life_;
  dispatch::RequestDispatcher& dispatcher_;
  Clock& clock_;
  Log& log_;
  schemas::SchemaCache store_;
  schemas::PlanningCoordinator planning_;
  std::map<uint64_t, std::shared_ptr<Waiting>> waiting_;
  uint64_t last_waiter_ = 0, last_call_ = 0, changed_ = 0;
};

}  // namespace sablelink::flightsql
