// Places a request: its class, tenant, order key and group of tables, from what came with it. No I/O and no
// state; the order of the selectors in the configuration decides, the first that matches wins.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sql/statement.h"
#include "workload/types.h"

namespace sablelink::config {

// What came with a request. Header names are in lower case.
struct RequestFacts {
  std::string_view user;
  const std::vector<std::pair<std::string, std::string>>* headers = nullptr;
  const sql::StatementInfo* statement = nullptr;
};

// Every condition that is set must hold. A text that ends in '*' matches whatever begins so.
struct Selector {
  std::string name;
  std::vector<std::string> users;              // any of these
  std::vector<sql::StatementKind> kinds;       // any of these
  std::vector<std::string> tables;             // the statement names any of these
  std::map<std::string, std::string> headers;  // all of these
  int cls = 0;
  int tenant = -1;  // -1: by the tenant header, else the first
};

struct Table {
  std::string catalog, schema, name;
  int64_t group = 0;
  bool operator==(const Table&) const = default;
};

struct SelectorSettings {
  std::vector<Selector> selectors;
  int default_class = 0;
  std::vector<std::string> tenants;  // names, by index
  std::string tenant_header;         // its value names the tenant; empty: none does
  std::string key_header;            // its value is the order key; empty: none is
  std::string cost_header;           // its value is the estimated work in microseconds
  std::string memory_header;         // its value is the estimated memory in MB
  std::vector<Table> tables;
};

struct Selection {
  int cls = 0;
  int tenant = 0;
  uint64_t key = 0;
  int64_t table_group = -1;
  std::optional<double> cost_us;
  double need_mb = 0;
  const Selector* by = nullptr;  // none: the default class
};

// Never refuses: values that can't be read count as missing.
Selection select(const SelectorSettings& settings, const RequestFacts& facts);

}  // namespace sablelink::config
