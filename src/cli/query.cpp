#include <algorithm>
#include <cinttypes>
#include <cstdio>

#include "base/json.h"
#include "cli/commands.h"
#include "flightsql/client.h"
#include "rpc/grpc_client.h"

namespace sablelink::cli {
namespace {

using arrowipc::Value;

constexpr size_t kColumnGapSpaces = 2;

std::string to_json_string(std::string_view text) { return "\"" + json_escaped(text) + "\""; }

std::string format_double(double value) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.15g", value);
  return text;
}

std::string format_value(const Value& value, bool json) {
  if (std::holds_alternative<std::monostate>(value)) return json ? "null" : "";
  if (const auto* boolean = std::get_if<bool>(&value)) return *boolean ? "true" : "false";
  if (const auto* integer = std::get_if<int64_t>(&value)) return std::to_string(*integer);
  if (const auto* number = std::get_if<double>(&value)) return format_double(*number);
  const auto& text = std::get<std::string>(value);
  return json ? to_json_string(text) : text;
}

void print_json_lines(const arrowipc::Schema& schema, const arrowipc::Batch& batch) {
  for (int64_t row = 0; row < batch.rows; ++row) {
    std::string line = "{";
    for (size_t column = 0; column < schema.fields.size(); ++column) {
      const arrowipc::Field& field = schema.fields[column];
      if (column > 0) line += ",";
      line += to_json_string(field.name) + ":" +
              format_value(arrowipc::value_at(batch.columns[column], field, row), true);
    }
    std::printf("%s}\n", line.c_str());
  }
}

using TableRow = std::vector<std::string>;

// Returns the header row, followed by the data rows.
std::vector<TableRow> format_rows(const arrowipc::Schema& schema,
                                  const std::vector<arrowipc::Batch>& batches) {
  std::vector<TableRow> rows(1);
  for (const arrowipc::Field& field : schema.fields) rows[0].push_back(field.name);
  for (const arrowipc::Batch& batch : batches) {
    for (int64_t row = 0; row < batch.rows; ++row) {
      TableRow cells;
      for (size_t column = 0; column < schema.fields.size(); ++column) {
        const Value value = arrowipc::value_at(batch.columns[column], schema.fields[column], row);
        cells.push_back(format_value(value, false));
      }
      rows.push_back(std::move(cells));
    }
  }
  return rows;
}

void print_table(const arrowipc::Schema& schema, const std::vector<arrowipc::Batch>& batches) {
  const std::vector<TableRow> rows = format_rows(schema, batches);
  std::vector<size_t> widths(schema.fields.size(), 0);
  for (const TableRow& row : rows) {
    for (size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const TableRow& row : rows) {
    std::string line;
    for (size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      if (column + 1 < row.size()) line.append(widths[column] - row[column].size() + kColumnGapSpaces, ' ');
    }
    std::printf("%s\n", line.c_str());
  }
}

flightsql::ClientOptions client_options(const QueryOptions& options) {
  flightsql::ClientOptions client_options;
  client_options.timeout_us = static_cast<TimeUs>(options.timeout_s * 1e6);
  for (const std::string& header : options.headers) {
    const size_t equals = header.find('=');
    if (equals == std::string::npos || equals == 0) {
      throw CommandError("--header '" + header + "' is not name=value");
    }
    client_options.headers.emplace_back(header.substr(0, equals), header.substr(equals + 1));
  }
  return client_options;
}

flightsql::QueryResult execute(const QueryOptions& options, const service::System& system) {
  const flightsql::ClientOptions call_options = client_options(options);
  rpc::GrpcLoop loop(system.wall, system.steady);
  rpc::GrpcChannelFactory channels({}, loop);
  flightsql::Client client(channels.open(options.endpoint), loop);
  flightsql::Client::OnBatch on_batch;
  if (options.json) on_batch = print_json_lines;
  auto result = options.update ? client.update(options.statement, call_options)
                               : client.query(options.statement, call_options, on_batch);
  return loop.spawn(std::move(result)).get();
}

void print_error(const flightsql::QueryResult& result) {
  const std::string code(rpc::code_name(result.status.code));
  std::fprintf(stderr, "sablelink: %s: %s\n", code.c_str(), result.status.message.c_str());
  if (result.retry_after_us) {
    std::fprintf(stderr, "sablelink: retry after %.3f s\n", *result.retry_after_us / 1e6);
  }
}

}  // namespace

int run_query(const QueryOptions& options, const service::System& system) {
  const flightsql::QueryResult result = execute(options, system);
  if (result.verdict != dispatch::RequestStatus::kServed) {
    print_error(result);
    return result.verdict == dispatch::RequestStatus::kRejected ? kRejected : kFailed;
  }
  if (options.update) {
    std::printf("%" PRId64 " rows changed\n", result.updated_rows);
  } else if (!options.json) {
    print_table(result.schema, result.batches);
  }
  return kSuccess;
}

}  // namespace sablelink::cli
