// Classifies a request: its class, tenant, ordering key and table group follow from the statement, the user
// and the headers. No I/O and no state. Selectors are tried in the order of the configuration; the first
// match decides.
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

/// What a request is classified by; a view of the request, whose parts must outlive it.
struct RequestAttributes {
  std::string_view user;
  /// Names in lower case; nullptr: no headers.
  const std::vector<std::pair<std::string, std::string>>* headers = nullptr;
  const sql::StatementInfo* statement = nullptr;  // required
};

/// Matches a request where every condition holds; an empty condition always does. In conditions on strings a
/// '*' at the end matches any rest.
struct Selector {
  std::string name;
  std::vector<std::string> users;              // one of them made the request
  std::vector<sql::StatementKind> kinds;       // the statement is of one of them
  std::vector<std::string> tables;             // the statement names one of them
  std::map<std::string, std::string> headers;  // all of them, value by name
  int class_index = 0;
  std::optional<int> tenant;  // index; none: the tenant header decides
};

/// Tables of one group are cached together by engines.
struct Table {
  std::string catalog;
  std::string schema;
  std::string name;
  int64_t group = 0;
  bool operator==(const Table&) const = default;
};

/// The parts of a gateway's configuration that requests are classified by. An empty header name: no header is
/// read.
struct SelectorSettings {
  std::vector<Selector> selectors;
  int default_class = 0;             // index
  std::vector<std::string> tenants;  // names; the index is the tenant's number
  std::string tenant_header;         // the tenant's name
  std::string key_header;            // the key that orders requests
  std::string cost_header;           // the estimated work in microseconds
  std::string memory_header;         // the estimated memory in MB
  std::vector<Table> tables;
};

struct Classification {
  int class_index = 0;
  int tenant = 0;            // index
  uint64_t key = 0;          // a hash of the ordering key; 0: none
  int64_t table_group = -1;  // -1: the statement names no table
  std::optional<double> estimated_cost_us;
  double estimated_memory_mb = 0;              // 0: unknown
  const Selector* matched_selector = nullptr;  // part of the settings; nullptr: none matched
};

/// Never fails: header values that can't be read count as missing.
Classification classify(const SelectorSettings& settings, const RequestAttributes& request);

}  // namespace sablelink::config
