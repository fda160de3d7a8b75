#include <cinttypes>
#include <cstdio>

#include "base/json.h"
#include "cli/commands.h"
#include "config/section.h"
#include "flightsql/client.h"
#include "rpc/grpc_client.h"

namespace sablelink::cli {
namespace {

using arrowipc::Value;

std::string json_text(std::string_view text) { return "\"" + json_escaped(text) + "\""; }

std::string shown(const Value& value, bool json) {
  if (std::holds_alternative<std::monostate>(value)) return json ? "null" : "";
  if (const auto* b = std::get_if<bool>(&value)) return *b ? "true" : "false";
  if (const auto* i = std::get_if<int64_t>(&value)) return std::to_string(*i);
  if (const auto* d = std::get_if<double>(&value)) {
    char text[40];
    std::snprintf(text, sizeof(text), "%.15g", *d);
    return text;
  }
  const std::string& text = std::get<std::string>(value);
  return json ? json_text(text) : text;
}

void print_json(const arrowipc::Schema& schema, const arrowipc::Batch& batch) {
  for (int64_t r = 0; r < batch.rows; ++r) {
    std::string line = "{";
    for (size_t c = 0; c < schema.fields.size(); ++c) {
      if (c > 0) line += ",";
      line += json_text(schema.fields[c].name) + ":" +
              shown(arrowipc::value_at(batch.columns[c], schema.fields[c], r), true);
    }
    std::printf("%s}\n", line.c_str());
  }
}

void print_table(const arrowipc::Schema& schema, const std::vector<arrowipc::Batch>& batches) {
  std::vector<std::vector<std::string>> rows(1);
  for (const arrowipc::Field& f : schema.fields) rows[0].push_back(f.name);
  for (const arrowipc::Batch& batch : batches) {
    for (int64_t r = 0; r < batch.rows; ++r) {
      std::vector<std::string> row;
      for (size_t c = 0; c < schema.fields.size(); ++c)
        row.push_back(shown(arrowipc::value_at(batch.columns[c], schema.fields[c], r), false));
      rows.push_back(std::move(row));
    }
  }
  std::vector<size_t> widths(schema.fields.size(), 0);
  for (const auto& row : rows)
    for (size_t c = 0; c < row.size(); ++c) widths[c] = std::max(widths[c], row[c].size());
  for (const auto& row : rows) {
    std::string line;
    for (size_t c = 0; c < row.size(); ++c) {
      line += row[c];
      if (c + 1 < row.size()) line.append(widths[c] - row[c].size() + 2, ' ');
    }
    std::printf("%s\n", line.c_str());
  }
}

}  // namespace

int run_query(const QueryOptions& options, const service::System& system) {
  flightsql::ClientOptions client_options;
  client_options.timeout_us = static_cast<TimeUs>(options.timeout_s * 1e6);
  for (const std::string& header : options.headers) {
    const size_t eq = header.find('=');
    if (eq == std::string::npos || eq == 0)
      throw config::ConfigError("--header '" + header + "' is not name=value");
    client_options.headers.emplace_back(header.substr(0, eq), header.substr(eq + 1));
  }
  rpc::GrpcLoop loop(system.wall, system.steady);
  rpc::GrpcChannelFactory channels({}, loop);
  flightsql::QueryResult result;
  {
    flightsql::Client client(channels.open(options.endpoint), loop);
    flightsql::Client::OnBatch on_batch;
    if (options.json) on_batch = print_json;
    auto work = options.update ? client.update(options.statement, client_options)
                               : client.query(options.statement, client_options, on_batch);
    result = loop.spawn(std::move(work)).get();
  }
  if (result.verdict == dispatch::RequestStatus::kServed) {
    if (options.update)
      std::printf("%" PRId64 " rows changed\n", result.updated);
    else if (!options.json)
      print_table(result.schema, result.batches);
    return kServed;
  }
  std::fprintf(stderr, "sablelink: %s: %s\n", std::string(rpc::code_name(result.status.code)).c_str(),
               result.status.message.c_str());
  if (result.retry_after_us)
    std::fprintf(stderr, "sablelink: try again after %.3f s\n", *result.retry_after_us / 1e6);
  return result.verdict == dispatch::RequestStatus::kRejected ? kRefused : kFailed;
}

}  // namespace sablelink::cli
