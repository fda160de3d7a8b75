// Fuzzes all parsers of untrusted input with mutations of well-formed inputs. An input fails if it crashes,
// makes a sanitizer report an error, throws an unexpected exception or violates a check of its target; it is
// printed in hex and ends the run. Invalid memory accesses are reliably detected only in a build with
// sanitizers.
//
//   sablelink_fuzz [TARGET...] [--runs N] [--seed S]
#include <google/protobuf/stubs/logging.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "arrowipc/ipc.h"
#include "config/gateway_config.h"
#include "flightsql/catalog.h"
#include "flightsql/protocol.h"
#include "flightsql/tickets.h"
#include "http/reader.h"
#include "nodes/content.h"
#include "nodes/node_config.h"
#include "platform/client_request.h"
#include "platform/config.h"
#include "platform/endpoints/change_log_reader.h"
#include "platform/pages.h"
#include "sql/shape.h"
#include "sql/statement.h"
#include "sql/table_group.h"

namespace sablelink {
namespace {

using Random = std::mt19937_64;

struct Target {
  std::string name;
  std::vector<std::string> seeds;
  std::vector<std::string> tokens;  // tokens with a meaning to the parser, inserted by mutations
  std::function<void(const std::string&)> feed;
};

void check(bool condition, const char* what) {
  if (!condition) throw std::logic_error(what);
}

// ---- Mutation

std::string mutate(const Target& target, Random& random) {
  const auto below = [&](size_t n) { return static_cast<size_t>(random() % n); };
  std::string text = target.seeds[below(target.seeds.size())];
  for (size_t steps = 1 + below(8); steps > 0; --steps) {
    const size_t at = below(text.size() + 1);
    switch (below(8)) {
      case 0:
        if (at < text.size()) text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
        break;
      case 1:
        if (at < text.size()) text[at] = static_cast<char>(random());
        break;
      case 2:
        text.erase(at, 1 + below(8));
        break;
      case 3:
        text.insert(at, 1 + below(4), static_cast<char>(random()));
        break;
      case 4:
        text.resize(at);
        break;
      case 5: {  // a boundary value of an integer type
        constexpr uint64_t kBoundaryValues[] = {0,      1,          0x7f,       0xff,       0x7fff,
                                                0xffff, 0x7fffffff, 0xffffffff, ~0ull >> 1, ~0ull};
        const uint64_t value = kBoundaryValues[below(10)];
        const size_t width = size_t{1} << below(4);
        if (at + width <= text.size()) std::memcpy(text.data() + at, &value, width);
        break;
      }
      case 6: {  // a part of another input
        const std::string& other = target.seeds[below(target.seeds.size())];
        const size_t from = below(other.size() + 1);
        text.insert(at, other.substr(from, 1 + below(32)));
        break;
      }
      default:
        if (!target.tokens.empty()) text.insert(at, target.tokens[below(target.tokens.size())]);
    }
    if (text.size() > 1 << 16) text.resize(1 << 16);
  }
  return text;
}

// ---- Targets

// Encodes two byte strings as one input: the first is preceded by its length in two bytes.
std::string join_inputs(const std::string& a, const std::string& b) {
  const auto n = static_cast<uint16_t>(a.size());
  return std::string{static_cast<char>(n & 0xff), static_cast<char>(n >> 8)} + a + b;
}
std::pair<std::string, std::string> split_input(const std::string& bytes) {
  if (bytes.size() < 2) return {bytes, ""};
  const size_t n = static_cast<uint8_t>(bytes[0]) | static_cast<size_t>(static_cast<uint8_t>(bytes[1])) << 8;
  return {bytes.substr(2, n), bytes.size() > 2 + n ? bytes.substr(2 + n) : ""};
}

arrowipc::Schema sample_schema() {
  const auto field = [](const char* name, arrowipc::Type type) {
    arrowipc::Field f;
    f.name = name;
    f.type = type;
    return f;
  };
  using arrowipc::Type;
  return {{field("b", Type::kBool), field("i", Type::kInt32), field("l", Type::kInt64),
           field("d", Type::kDouble), field("u", Type::kUtf8), field("x", Type::kBinary),
           field("t", Type::kTimestamp)}};
}

arrowipc::Batch sample_batch(int64_t rows) {
  const arrowipc::Schema schema = sample_schema();
  arrowipc::Batch batch;
  batch.rows = rows;
  for (const arrowipc::Field& f : schema.fields) {
    arrowipc::ArrayBuilder builder(f);
    for (int64_t r = 0; r < rows; ++r) {
      if (r % 3 == 2)
        builder.null();
      else if (f.type == arrowipc::Type::kBool)
        builder.boolean(r % 2 == 0);
      else if (f.type == arrowipc::Type::kDouble)
        builder.number(0.5 * static_cast<double>(r));
      else if (f.type == arrowipc::Type::kUtf8 || f.type == arrowipc::Type::kBinary)
        builder.bytes(std::string(static_cast<size_t>(r), 'g'));
      else
        builder.integer(r * 1000);
    }
    batch.columns.push_back(builder.finish());
  }
  return batch;
}

// A batch that decodes must survive another round of encoding and decoding with the same number of rows.
void batch_target(const std::string& bytes) {
  const arrowipc::Schema schema = sample_schema();
  const auto [header, body] = split_input(bytes);
  try {
    const arrowipc::Batch batch = arrowipc::decode_batch(schema, header, body);
    check(batch.columns.size() == schema.fields.size(), "a column is missing");
    const arrowipc::Message encoded = arrowipc::encode_batch(schema, batch);
    const arrowipc::Batch decoded_again = arrowipc::decode_batch(schema, encoded.header, encoded.body);
    check(decoded_again.rows == batch.rows, "rows were lost");
  } catch (const arrowipc::FormatError&) {
  }
}

void schema_target(const std::string& bytes) {
  try {
    const arrowipc::Schema schema = arrowipc::decode_schema(bytes);
    const arrowipc::Schema decoded_again = arrowipc::decode_schema(arrowipc::encode_schema(schema).header);
    check(decoded_again.fields.size() == schema.fields.size(), "fields were lost");
  } catch (const arrowipc::FormatError&) {
  }
  try {
    arrowipc::decode_encapsulated_schema(bytes);
  } catch (const arrowipc::FormatError&) {
  }
  try {
    arrowipc::message_kind(bytes);
  } catch (const arrowipc::FormatError&) {
  }
}

void statement_target(const std::string& text) {
  size_t last = 0;
  for (const sql::Token& t : sql::tokenize(text)) {
    check(!t.text.empty() && t.offset >= last && t.offset + t.text.size() <= text.size(),
          "a token is empty, out of order or out of bounds");
    check(text.compare(t.offset, t.text.size(), t.text) == 0, "a token differs from the statement's text");
    last = t.offset + t.text.size();
  }
  sql::analyze_statement(text);
  const size_t n = sql::count_parameters(text);
  if (n <= 64) {
    // A bound text is a single literal, even if it contains quotes, placeholders or comments.
    const std::string bound =
        sql::bind_parameters(text, std::vector<std::string>(n, sql::to_string_literal("it's ? -- /*")));
    check(n > 0 || bound == text, "a statement without parameters was changed");
  }
}

void terms_target(const std::string& bytes) {
  const flightsql::NodeReport report = flightsql::decode_load_report(bytes);
  if (report.work_us) check(*report.work_us >= 0, "negative work");
  if (report.memory_used_mb) check(*report.memory_used_mb >= 0, "negative memory");
  rpc::CallResult end;
  end.status = {rpc::Code::kUnavailable, "m", bytes};
  end.trailers.emplace_back(std::string(flightsql::kLoadReportKey), bytes);
  flightsql::map_call_end(end);
}

// Parses the input in pieces of `step` bytes. Returns the messages and the error, which must not depend on
// `step`.
template <typename Reader, typename Text>
std::string messages_of(const std::string& bytes, size_t step, Text text) {
  http::MessageLimits limits;
  limits.max_header_bytes = 512;
  limits.max_body_bytes = 256;
  Reader reader(limits);
  std::string result;
  for (size_t at = 0; at < bytes.size(); at += step) {
    auto state = reader.feed(std::string_view(bytes).substr(at, step));
    while (state == http::ParseStatus::kComplete) {
      result += text(reader.take_message()) + "\n";
      state = reader.feed({});
    }
    check(reader.buffered_bytes() <= bytes.size(), "more bytes are buffered than were fed");
    if (state == http::ParseStatus::kMalformed)
      return result + "bad " + std::to_string(reader.error_status());
  }
  return result;
}

void http_target(const std::string& bytes) {
  const auto fields = [](const http::Fields& all) {
    std::string result;
    for (const auto& [name, value] : all) result.append(name).append("=").append(value).append(";");
    return result;
  };
  const auto request = [&](const http::Request& r) {
    check(r.body.size() <= 256, "a body exceeds its limit");
    platform::HttpServerOptions options;
    options.class_names = {"lookup"};
    options.max_timeout_us = {5'000'000};
    const auto parsed = platform::parse_client_request(r, options);
    if (const auto* valid = std::get_if<platform::ClientRequest>(&parsed))
      check(valid->id.size() == 16 && valid->timeout_us > 0 && valid->timeout_us <= 6'000'000,
            "an invalid client request is accepted");
    return r.method + " " + r.target + " " + fields(r.fields) + r.body + (r.keep_alive ? "+" : "-");
  };
  const auto response = [&](const http::Response& r) {
    check(r.body.size() <= 256 && r.status >= 200, "a response has an invalid status or body size");
    return std::to_string(r.status) + fields(r.fields) + r.body + (r.keep_alive ? "+" : "-");
  };
  const std::string whole_requests = messages_of<http::RequestReader>(bytes, bytes.size() + 1, request);
  const std::string whole_responses = messages_of<http::ResponseReader>(bytes, bytes.size() + 1, response);
  for (const size_t step : {size_t{1}, size_t{5}}) {
    check(messages_of<http::RequestReader>(bytes, step, request) == whole_requests,
          "requests depend on how the input is split");
    check(messages_of<http::ResponseReader>(bytes, step, response) == whole_responses,
          "responses depend on how the input is split");
  }
}

void change_log_target(const std::string& bytes) {
  std::string whole_events;
  std::string split_events;
  platform::ChangeLogReader a(3, {});
  platform::ChangeLogReader b(3, {});
  bool whole_ok = a.feed(
      bytes, [&](const platform::WatchEvent& e) { whole_events += std::to_string(e.sequence_number) + ","; });
  bool split_ok = true;
  for (size_t i = 0; split_ok && i < bytes.size(); ++i)
    split_ok = b.feed(bytes.substr(i, 1), [&](const platform::WatchEvent& e) {
      split_events += std::to_string(e.sequence_number) + ",";
    });
  check(whole_ok == split_ok && whole_events == split_events &&
            a.last_sequence_number() == b.last_sequence_number(),
        "events depend on how the input is split");
}

std::vector<Target> targets() {
  std::vector<Target> all;
  const arrowipc::Message schema = arrowipc::encode_schema(sample_schema());
  std::vector<std::string> batches;
  for (const int64_t rows : {0, 1, 5, 70}) {
    const arrowipc::Message m = arrowipc::encode_batch(sample_schema(), sample_batch(rows));
    batches.push_back(join_inputs(m.header, m.body));
  }
  all.push_back({"batch", batches, {}, batch_target});
  all.push_back({"schema", {schema.header, arrowipc::encapsulate(schema)}, {}, schema_target});
  all.push_back(
      {"statement",
       {"SELECT a, \"b\" FROM gallery g JOIN archive.photo USING (id) WHERE x = ? AND y IN (1, 2.5e3)",
        "INSERT INTO gallery VALUES (?, 'it''s', E'\\n')", "UPDATE t SET a = $tag$ body ? $tag$",
        "WITH x AS (SELECT 1) MERGE INTO y USING x ON x.a = y.a -- ?\n/* /* */ ? */", "COPY `a.b` FROM 's'"},
       {"'", "\"", "`", "?", "--", "/*", "*/", "$$", "$a$", "E'", "\\", "''", "[", "]", "SELECT ", "\n"},
       statement_target});

  // Shapes of statements: a bounded size, and a shape with folded literals no longer than one without.
  all.push_back(
      {"shape",
       {"SELECT a, 1 FROM t WHERE b = 'x' AND c IN (1, 2) LIMIT 3", "SELECT 5--1\n FROM t",
        "SELECT /*! 1 */ a FROM (SELECT 2 FROM u HAVING x > 1) q WHERE a = $q$ b $q$",
        R"(FROM t |> WHERE a = 1 |> SELECT 'x'; SELECT "a", E'\'')"},
       {"'", "\"", "?", "--", "/*", "*/", "$$", "(", ")", ";", "|", ",", "WHERE ", "FROM ", "SELECT ", "\\"},
       [](const std::string& text) {
         const std::string shape = sql::shape_of(text);
         check(shape.size() <= 2 * text.size() + 2, "a shape is longer than its statement");
         check(sql::exact_shape_of(text).size() + 2 >= shape.size(), "folding makes a shape longer");
         nodes::Content content(text, 1);  // the stand-in node's parser of statements
         check(content.schema().fields.size() >= 1, "a statement has no columns");
       }});

  static flightsql::TicketIssuer ticket_office(1, 2);
  all.push_back({"ticket",
                 {ticket_office.issue("SELECT 1"), ticket_office.issue(std::string(300, 's'))},
                 {},
                 [](const std::string& bytes) {
                   const flightsql::OpenedTicket t = ticket_office.open(bytes);
                   if (t.error != flightsql::TicketError::kNone) return;
                   check(t.statement == "SELECT 1" || t.statement == std::string(300, 's'),
                         "a modified ticket is accepted");
                 }});

  flightsql::NodeReport report;
  report.load.emplace();
  report.work_us = 12.5;
  report.memory_used_mb = 3;
  all.push_back({"terms",
                 {flightsql::encode_load_report(report),
                  flightsql::make_error(rpc::Code::kUnavailable, "full", flightsql::kNodeDomain,
                                        flightsql::kNotAdmitted, 250'000)
                      .details},
                 {},
                 terms_target});

  all.push_back(
      {"http",
       {"POST /v1/lookup HTTP/1.1\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nX-Timeout-Ms: 1500\r\nContent-Length: "
        "8\r\n\r\n"
        "SELECT 1GET /healthz HTTP/1.1\r\n\r\n",
        "POST /v1/lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nSELECT 1\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nPage-Count: 2\r\nContent-Length: 6\r\n\r\na\tb\tc\n",
        "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 503 Busy\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n"},
       {"\r\n", "\n", ":", " ", "Content-Length: ", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", "HTTP/1.1",
        "-1", "99999999999", "X-Request-Id: ", "Connection: close\r\n"},
       http_target});
  all.push_back(
      {"change-log",
       {"{\"seq\":4,\"fleet\":{\"whole\":false,\"hosts\":[{\"host\":\"a\",\"dial\":\"b\",\"health\":"
        "\"ready\",\"site\":\"c\",\"born_ms\":7}]}}\n4\n{\"seq\":5}\n5\n"},
       {"\n", "{", "}", "[", "\"", "\"seq\":", "-1", "1e99", "gone", "99999999999999999999"},
       change_log_target});
  all.push_back(
      {"pages",
       {"a\t1\tx\nb\t2\t\xe2\x82\xac\n", "inflight:7;util:0.61", "SELECT 1 FROM a_1.b, \"c_2\".d -- x_3.y"},
       {"\t", "\n", ";", ":", "_", ".", "\"", "'", "1e400", "\xf0\x9f"},
       [](const std::string& text) {
         if (platform::is_valid_page(text)) {
           std::string rows;
           platform::append_json_rows(text, rows);
           check(platform::is_valid_text(rows), "rows aren't valid text");
           check(std::count(text.begin(), text.end(), '\n') <= std::count(rows.begin(), rows.end(), '['),
                 "a row is missing");
         }
         platform::parse_load_report(text);
         check(sql::table_group(text) >= -1, "a group below -1");
       }});
  all.push_back(
      {"platform-config",
       {R"({"name":"n","listen":"l","seed":"8c","limits":{"sockets":256},"changelog":"c",)"
        R"("known":{"seq":1,"results":[]},"settings":{"Services":[{"Name":"a","AimUs":1,"DeadlineUs":2}]}})"},
       {"{", "}", "[", "]", "\"", ",", ":", "null", "1e999", "-1", "true", "\\u0000"},
       [](const std::string& text) {
         try {
           platform::parse_config(text);
         } catch (const platform::ConfigError&) {
         }
       }});

  const std::string gateway =
      "[gateway]\nname = \"g\"\nlisten = \"127.0.0.1:1\"\n[[kind]]\nname = \"k\"\ncores = 8\n"
      "[[class]]\nname = \"q\"\naim = \"2s\"\ndeadline = \"30s\"\nlate_worth = 0.5\nrepeat = \"unsafe\"\n"
      "[[select]]\nheaders = { \"x-class\" = \"q\" }\nkinds = [\"insert\"]\nclass = \"q\"\n"
      "[[node]]\nname = \"n\"\naddress = \"127.0.0.1:2\"\n[rules]\ndrain_grace = \"250ms\"\n";
  const std::vector<std::string> toml_words = {"[",     "]",     "=",     "\"",  "'''",
                                               "-1",    "1e999", "nan",   "inf", "{}",
                                               "[[x]]", "ms\"",  "GiB\"", "\n",  "9223372036854775807"};
  all.push_back({"gateway-config", {gateway}, toml_words, [](const std::string& text) {
                   try {
                     config::parse_gateway_config(text, "f.toml");
                   } catch (const config::ConfigError& e) {
                     check(std::strstr(e.what(), "f.toml") != nullptr, "an error doesn't name the file");
                   }
                 }});
  all.push_back(
      {"node-config",
       {"[node]\nname = \"n\"\nlisten = \"127.0.0.1:1\"\n[engine]\ncores = 8\nmemory = \"16GiB\"\n"},
       toml_words,
       [](const std::string& text) {
         try {
           nodes::parse_node_config(text, "f.toml");
         } catch (const config::ConfigError& e) {
           check(std::strstr(e.what(), "f.toml") != nullptr, "an error doesn't name the file");
         }
       }});
  return all;
}

// ---- Running

const std::string* current_input = nullptr;

void print_current(const char* what) {
  std::fprintf(stderr, "%s with the input:\n", what);
  if (current_input != nullptr)
    for (const char c : *current_input) std::fprintf(stderr, "%02x", static_cast<unsigned char>(c));
  std::fprintf(stderr, "\n");
}

int fuzz(const std::vector<std::string>& names, uint64_t runs, uint64_t seed) {
  // With abort_on_error=1, a sanitizer ends the process by abort(), so this handler prints the input.
  for (const int signal : {SIGSEGV, SIGABRT, SIGFPE, SIGBUS})
    std::signal(signal, [](int) {
      print_current("crashed");
      std::_Exit(1);
    });
  const std::vector<Target> all = targets();
  for (const std::string& name : names)
    if (std::none_of(all.begin(), all.end(), [&](const Target& t) { return t.name == name; })) {
      std::fprintf(stderr, "sablelink_fuzz: no target '%s'\n", name.c_str());
      return 2;
    }
  for (const Target& target : all) {
    if (!names.empty() && std::find(names.begin(), names.end(), target.name) == names.end()) continue;
    Random random(seed);
    for (uint64_t i = 0; i < runs; ++i) {
      const std::string input = i < target.seeds.size() ? target.seeds[i] : mutate(target, random);
      current_input = &input;
      try {
        target.feed(input);
      } catch (const std::exception& e) {
        print_current((target.name + ": " + e.what()).c_str());
        return 1;
      }
      current_input = nullptr;
    }
    std::printf("%-16s %llu inputs\n", target.name.c_str(), static_cast<unsigned long long>(runs));
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace
}  // namespace sablelink

int main(int argc, char** argv) {
  CLI::App app{"Fuzzes the parsers of untrusted input"};
  std::vector<std::string> names;
  uint64_t runs = 20'000;
  uint64_t seed = 1;
  app.add_option("target", names, "Targets to run; all by default");
  app.add_option("--runs", runs, "Number of inputs for each target")->capture_default_str();
  app.add_option("--seed", seed, "Seed of the mutations")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  google::protobuf::SetLogHandler(nullptr);
  return sablelink::fuzz(names, runs, seed);
}
