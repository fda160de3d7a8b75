// Resolves the result and parameter schemas of statements before they are executed: from the cache of schemas
// that responses or planning calls have shown, otherwise by a planning call if one is allowed. Where neither
// has a result, the schema is unknown. There is one instance for each gateway's Flight SQL server, on the
// dispatcher's strand. schemas::PlanningCoordinator decides whether a planning call is made, and the workload
// manager to which engine it is sent.
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

class SchemaResolver {
 public:
  // incarnation: identifies this start of the gateway in the tags of planning calls. The references must
  // outlive this object.
  SchemaResolver(const schemas::SchemaCacheLimits& cache_limits,
                 const schemas::PlanningSettings& planning_settings, int planning_class, uint64_t incarnation,
                 dispatch::RequestDispatcher& dispatcher, Clock& clock, Log& log);
  ~SchemaResolver();
  SchemaResolver(const SchemaResolver&) = delete;
  SchemaResolver& operator=(const SchemaResolver&) = delete;

  // Schemas are encapsulated Arrow IPC messages; empty where unknown.
  struct Resolution {
    std::string result_schema, parameter_schema;
    // Set where an engine has rejected the statement as invalid; otherwise the code is 0.
    dispatch::EngineError statement_error;
  };
  // The cache key contains the statement's class: other classes may be bound to other engines, which may have
  // other tables.
  schemas::CachedStatement cached_statement_for(const std::string& text, const sql::StatementInfo& info,
                                                int class_index) const;

  // with_parameters: also resolves the parameter schema, if the statement has parameters. Stops waiting when
  // the client's call is cancelled.
  rpc::Awaitable<Resolution> resolve(std::shared_ptr<rpc::ServerCall> call, std::string text,
                                     sql::StatementInfo info, int class_index, bool with_parameters);

  // Compares the schema in a response's first message with the one announced in the FlightInfo, and caches
  // it. announced_hash: hash_schema() of the announced schema, 0 for none. changes_at_request: change_count()
  // when the statement was submitted.
  enum class SchemaCheck { kNoSchema, kAsAnnounced, kChanged };
  SchemaCheck check_response_schema(const schemas::CachedStatement& cached_statement,
                                    const std::string& message, uint64_t announced_hash,
                                    schemas::SchemaCache::ChangeCount changes_at_request);
  void invalidate_tables(const std::vector<std::string>& tables) { cache_.invalidate_tables(tables); }
  void clear() { cache_.clear(); }
  schemas::SchemaCache::ChangeCount change_count() const { return cache_.change_count(); }
  // Returns a hash of a schema's columns, for tickets; 0 only for an empty schema.
  static uint64_t hash_schema(const std::string& schema);

  const schemas::SchemaCache& cache() const { return cache_; }
  const schemas::PlanningCoordinator& planning_coordinator() const { return planning_coordinator_; }
  // Number of responses whose schema wasn't the announced one.
  uint64_t schema_change_count() const { return schema_change_count_; }

 private:
  struct Call;
  class Sink;
  struct Waiter {
    AsyncEvent completed;
    dispatch::EngineError error;
  };

  void start_planning_call(const std::string& key, const std::string& text,
                           const schemas::CachedStatement& cached_statement,
                           const std::string& parameters_key);
  void on_planning_call_completed(const std::string& key, const dispatch::EngineError& error);

  const schemas::PlanningSettings planning_settings_;
  const int planning_class_;
  const uint64_t incarnation_;
  dispatch::RequestDispatcher& dispatcher_;
  Clock& clock_;
  Log& log_;
  schemas::SchemaCache cache_;
  schemas::PlanningCoordinator planning_coordinator_;
  std::map<uint64_t, std::shared_ptr<Waiter>> waiters_;
  uint64_t last_waiter_id_ = 0, last_call_number_ = 0, schema_change_count_ = 0;
};

}  // namespace sablelink::flightsql
