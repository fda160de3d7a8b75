// Classifies a request: derives its class, tenant, ordering key and table group from the statement, the user
// and the headers. Selectors are tried in the order of the configuration, and the first match applies.
// Stateless and free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sql/statement.h"

namespace sablelink::config {

/// The properties that classify a request: a view of the request, which must outlive it.
struct RequestAttributes {
  std::string_view user;
  /// Names are in lower case; nullptr: no headers.
  const std::vector<std::pair<std::string, std::string>>* headers = nullptr;
  const sql::StatementInfo* statement = nullptr;  // required
};

/// Matches a request that meets all conditions. An empty condition is always met. A '*' at the end of a
/// pattern matches any remaining text.
struct Selector {
  std::string name;
  std::vector<std::string> users;              // patterns: the user matches one of them
  std::vector<sql::StatementKind> kinds;       // the statement is of one of these kinds
  std::vector<std::string> tables;             // patterns: a table of the statement matches one of them
  std::map<std::string, std::string> headers;  // patterns by header name: all of them match
  int class_index = 0;
  std::optional<int> tenant;  // index; none: the tenant header determines it
};

/// A table and its group. Engines cache the tables of a group together.
struct Table {
  std::string catalog;
  std::string schema;
  std::string name;
  int64_t group = 0;
  bool operator==(const Table&) const = default;
};

/// The parts of a gateway's configuration that determine how requests are classified. An empty header name
/// means that no such header is read.
struct SelectorSettings {
  std::vector<Selector> selectors;
  int default_class = 0;             // index
  std::vector<std::string> tenants;  // names, by tenant index
  std::string tenant_header;         // contains the tenant's name
  std::string ordering_key_header;   // contains the ordering key
  std::string cost_header;           // contains the estimated work in microseconds
  std::string memory_header;         // contains the estimated memory in MB
  std::vector<Table> tables;
};

struct Classification {
  int class_index = 0;
  int tenant = 0;            // index
  uint64_t key = 0;          // a hash of the ordering key; 0: none
  int64_t table_group = -1;  // -1: the statement has no table
  std::optional<double> estimated_cost_us;
  double estimated_memory_mb = 0;              // 0: unknown
  const Selector* matched_selector = nullptr;  // points into the settings; nullptr: none matched
};

/// Never fails: header values that can't be parsed count as missing.
Classification classify(const SelectorSettings& settings, const RequestAttributes& request);

}  // namespace sablelink::config
