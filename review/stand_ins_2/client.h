// Clients by the platform's protocol.
#pragma once

#include <string>
#include <vector>

#include "net.h"
#include "node.h"
#include "record.h"

namespace review {

enum class Result { kServed, kRefused, kFailed, kNoAnswer, kUnreadable };

struct Answer {
  Result result = Result::kNoAnswer;
  ReadResult end = ReadResult::kMessage;  // with kNoAnswer: what came instead
  Message message;
  double took_s = 0;
};

inline const char* result_name(Result result) {
  switch (result) {
    case Result::kServed:
      return "served";
    case Result::kRefused:
      return "refused";
    case Result::kFailed:
      return "failed";
    case Result::kNoAnswer:
      return "NO ANSWER";
    case Result::kUnreadable:
      return "UNREADABLE";
  }
  return "";
}

inline std::string request_id(unsigned run, unsigned number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%08x", run, number);
  return text;
}

inline std::string request_text(const std::string& id, const std::string& cls, int timeout_ms,
                                const std::string& statement) {
  return "POST /v1/" + cls + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: " + id +
         "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) +
         "\r\nContent-Length: " + std::to_string(statement.size()) + "\r\n\r\n" + statement;
}

inline Answer read_answer(MessageReader& reader, double until_s) {
  const double from_s = now_s();
  Answer answer;
  answer.end = reader.read(answer.message, until_s);
  answer.took_s = now_s() - from_s;
  if (answer.end != ReadResult::kMessage)
    answer.result = answer.end == ReadResult::kBad ? Result::kUnreadable : Result::kNoAnswer;
  else if (answer.message.status() == 503 || answer.message.status() == 429 ||
           answer.message.body.find("\"failure\":\"Full\"") != std::string::npos)
    answer.result = Result::kRefused;
  else if (answer.message.status() == 200 && answer.message.body.find("\"failure\"") == std::string::npos)
    answer.result = Result::kServed;
  else
    answer.result = Result::kFailed;
  return answer;
}

// All strings of a JSON text that stand in its arrays, in order. Knows the escapes that rows here can need.
inline std::vector<std::string> strings_in_rows(const std::string& json) {
  std::vector<std::string> strings;
  size_t at = json.find('[');
  while (at != std::string::npos && (at = json.find('"', at)) != std::string::npos) {
    std::string text;
    for (++at; at < json.size() && json[at] != '"'; ++at) {
      if (json[at] == '\\') ++at;
      text += json[at];
    }
    strings.push_back(text);
    ++at;
  }
  return strings;
}

// Whether a served answer holds all rows of the request, in order and unchanged.
inline bool has_rows_of(const std::string& json, const std::string& id, int count) {
  std::vector<std::string> expected;
  for (const std::string& row : result_rows(id, count)) {
    size_t from = 0;
    for (size_t tab = row.find('\t'); tab != std::string::npos; tab = row.find('\t', from)) {
      expected.push_back(row.substr(from, tab - from));
      from = tab + 1;
    }
    expected.push_back(row.substr(from));
  }
  return strings_in_rows(json) == expected;
}

}  // namespace review
