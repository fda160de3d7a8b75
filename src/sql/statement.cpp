#include "sql/statement.h"

#include <algorithm>
#include <array>

#include "base/ascii.h"

namespace sablelink::sql {
namespace {

bool is_space(char c) { return c == ' ' || (c >= '\t' && c <= '\r'); }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
// Bytes past ASCII count as letters: they belong to names in UTF-8.
bool is_letter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' ||
         (static_cast<unsigned char>(c) >= 0x80);
}
bool is_word(char c) { return is_letter(c) || is_digit(c) || c == '$'; }

class Lexer {
 public:
  explicit Lexer(std::string_view text) : text_(text) {}

  std::vector<Token> run() {
    while (skip_blank()) next();
    return std::move(tokens_);
  }

 private:
  char peek(size_t ahead = 0) const { return at_ + ahead < text_.size() ? text_[at_ + ahead] : '\0'; }

  // Past white space and comments; false at the end.
  bool skip_blank() {
    while (at_ < text_.size()) {
      if (is_space(peek())) {
        ++at_;
      } else if (peek() == '-' && peek(1) == '-') {
        while (at_ < text_.size() && peek() != '\n') ++at_;
      } else if (peek() == '/' && peek(1) == '*') {
        skip_comment();
      } else {
        return true;
      }
    }
    return false;
  }

  void skip_comment() {
    int depth = 0;
    do {
      if (peek() == '/' && peek(1) == '*') {
        ++depth;
        at_ += 2;
      } else if (peek() == '*' && peek(1) == '/') {
        --depth;
        at_ += 2;
      } else {
        ++at_;
      }
    } while (depth > 0 && at_ < text_.size());
    at_ = std::min(at_, text_.size());
  }

  void next() {
    const size_t from = at_;
    const char c = peek();
    if (c == '\'') {
      quoted('\'', false);
      add(TokenKind::kString, from);
    } else if ((c == 'e' || c == 'E') && peek(1) == '\'') {
      ++at_;
      quoted('\'', true);
      add(TokenKind::kString, from);
    } else if (c == '"' || c == '`') {
      quoted(c, false);
      add(TokenKind::kQuotedName, from);
    } else if (c == '$' && dollar_body()) {
      add(TokenKind::kString, from);
    } else if (is_digit(c) || (c == '.' && is_digit(peek(1)))) {
      number();
      add(TokenKind::kNumber, from);
    } else if (is_letter(c)) {
      while (is_word(peek()) && at_ < text_.size()) ++at_;
      add(TokenKind::kWord, from);
    } else if (c == '?') {
      ++at_;
      add(TokenKind::kParameter, from);
    } else {
      ++at_;
      add(TokenKind::kSymbol, from);
    }
  }

  // A quote stands for itself when doubled, or after a backslash where those count.
  void quoted(char quote, bool backslashes) {
    ++at_;
    while (at_ < text_.size()) {
      const char c = peek();
      const bool escaped = backslashes && c == '\\';
      const bool doubled = c == quote && peek(1) == quote;
      if (escaped || doubled) {
        at_ += 2;
      } else if (c != quote) {
        ++at_;
      } else {
        ++at_;
        return;
      }
    }
    at_ = std::min(at_, text_.size());
  }

  // $tag$ ... $tag$
  bool dollar_body() {
    size_t end = at_ + 1;
    while (end < text_.size() && (is_letter(text_[end]) || (end > at_ + 1 && is_digit(text_[end])))) ++end;
    if (end >= text_.size() || text_[end] != '$') return false;
    const std::string_view tag = text_.substr(at_, end - at_ + 1);
    const size_t close = text_.find(tag, end + 1);
    at_ = close == std::string_view::npos ? text_.size() : close + tag.size();
    return true;
  }

  void number() {
    while (at_ < text_.size()) {
      const char c = peek();
      const bool sign = (c == '+' || c == '-') && (text_[at_ - 1] == 'e' || text_[at_ - 1] == 'E');
      if (!is_digit(c) && !is_letter(c) && c != '.' && !sign) break;
      ++at_;
    }
  }

  void add(TokenKind kind, size_t from) { tokens_.push_back({kind, text_.substr(from, at_ - from), from}); }

  std::string_view text_;
  size_t at_ = 0;
  std::vector<Token> tokens_;
};

struct Lead {
  std::string_view word;
  StatementKind kind;
};
constexpr std::array<Lead, 19> kLeads = {{
    {"select", StatementKind::kQuery},    {"with", StatementKind::kQuery},
    {"values", StatementKind::kQuery},    {"table", StatementKind::kQuery},
    {"from", StatementKind::kQuery},      {"show", StatementKind::kQuery},
    {"describe", StatementKind::kQuery},  {"explain", StatementKind::kQuery},
    {"insert", StatementKind::kInsert},   {"replace", StatementKind::kInsert},
    {"update", StatementKind::kUpdate},   {"delete", StatementKind::kDelete},
    {"merge", StatementKind::kMerge},     {"copy", StatementKind::kLoad},
    {"load", StatementKind::kLoad},       {"create", StatementKind::kDefinition},
    {"drop", StatementKind::kDefinition}, {"alter", StatementKind::kDefinition},
    {"truncate", StatementKind::kDelete},
}};

StatementKind lead_kind(const std::string& word) {
  for (const Lead& lead : kLeads)
    if (lead.word == word) return lead.kind;
  return StatementKind::kOther;
}

// Words after which a table is named, and those that may stand between.
bool announces_table(const std::string& w) {
  return w == "from" || w == "join" || w == "into" || w == "update" || w == "table" || w == "using" ||
         w == "copy";
}
bool may_stand_between(const std::string& w) {
  return w == "only" || w == "lateral" || w == "if" || w == "not" || w == "exists" || w == "table";
}

}  // namespace

const char* kind_name(StatementKind kind) {
  switch (kind) {
    case StatementKind::kQuery:
      return "query";
    case StatementKind::kInsert:
      return "insert";
    case StatementKind::kUpdate:
      return "update";
    case StatementKind::kDelete:
      return "delete";
    case StatementKind::kMerge:
      return "merge";
    case StatementKind::kLoad:
      return "load";
    case StatementKind::kDefinition:
      return "definition";
    case StatementKind::kOther:
      return "other";
  }
  return "other";
}

std::vector<Token> tokenize(std::string_view statement) { return Lexer(statement).run(); }

namespace {

// Reads a table's name with its dots at tokens[i] and moves i behind it; empty where none stands there.
std::string read_name(const std::vector<Token>& tokens, size_t& i) {
  std::string name;
  while (i < tokens.size()) {
    const Token& t = tokens[i];
    if (t.kind == TokenKind::kQuotedName)
      name += t.text.substr(1, t.text.size() >= 2 ? t.text.size() - 2 : 0);
    else if (t.kind == TokenKind::kWord)
      name += ascii_to_lower(t.text);
    else
      break;
    ++i;
    if (i + 1 >= tokens.size() || tokens[i].text != ".") break;
    name += '.';
    ++i;
  }
  return name;
}

}  // namespace

StatementInfo inspect(std::string_view statement) {
  const std::vector<Token> tokens = tokenize(statement);
  StatementInfo info;
  std::vector<std::string> local;  // names that WITH defines: no tables
  const auto add = [&](std::string name) {
    if (name.empty() || std::find(local.begin(), local.end(), name) != local.end() ||
        std::find(info.tables.begin(), info.tables.end(), name) != info.tables.end())
      return;
    info.tables.push_back(std::move(name));
  };
  bool led = false;
  for (size_t i = 0; i < tokens.size();) {
    if (tokens[i].kind != TokenKind::kWord) {
      ++i;
      continue;
    }
    const std::string word = ascii_to_lower(tokens[i].text);
    const StatementKind lead = lead_kind(word);
    if (!led && lead != StatementKind::kOther) {
      info.kind = lead;
      led = true;
    } else if (led && info.kind == StatementKind::kQuery && i > 0 && tokens[i - 1].text == ")" &&
               lead != StatementKind::kOther && lead != StatementKind::kQuery) {
      info.kind = lead;  // WITH ... AS (...) INSERT ...
    }
    // A name before AS ( is local.
    if (i + 2 < tokens.size() && tokens[i + 1].kind == TokenKind::kWord &&
        ascii_to_lower(tokens[i + 1].text) == "as" && tokens[i + 2].text == "(")
      local.push_back(word);
    ++i;
    if (!announces_table(word)) continue;
    for (;;) {
      while (i < tokens.size() && tokens[i].kind == TokenKind::kWord &&
             may_stand_between(ascii_to_lower(tokens[i].text)))
        ++i;
      add(read_name(tokens, i));
      // FROM a, b and FROM a AS x, b
      if (word != "from") break;
      size_t j = i;
      if (j < tokens.size() && tokens[j].kind == TokenKind::kWord && ascii_to_lower(tokens[j].text) == "as")
        ++j;
      if (j < tokens.size() && tokens[j].kind == TokenKind::kWord && j + 1 < tokens.size() &&
          tokens[j + 1].text == ",")
        ++j;
      if (j >= tokens.size() || tokens[j].text != ",") break;
      i = j + 1;
    }
  }
  info.writes = info.kind != StatementKind::kQuery && info.kind != StatementKind::kOther;
  return info;
}

size_t count_parameters(std::string_view statement) {
  const std::vector<Token> tokens = tokenize(statement);
  return std::count_if(tokens.begin(), tokens.end(),
                       [](const Token& t) { return t.kind == TokenKind::kParameter; });
}

std::string substitute(std::string_view statement, const std::vector<std::string>& literals) {
  std::string out;
  size_t done = 0;
  size_t used = 0;
  for (const Token& t : tokenize(statement)) {
    if (t.kind != TokenKind::kParameter) continue;
    if (used == literals.size())
      throw ParameterCountError("the statement has more parameters than the " + std::to_string(used) +
                                " bound");
    out.append(statement.substr(done, t.at - done));
    out.append(literals[used++]);
    done = t.at + 1;
  }
  if (used != literals.size())
    throw ParameterCountError("the statement has " + std::to_string(used) + " parameters, but " +
                              std::to_string(literals.size()) + " are bound");
  out.append(statement.substr(done));
  return out;
}

std::string quote(std::string_view text) {
  std::string out = "'";
  for (const char c : text) {
    if (c == '\'') out += c;
    out += c;
  }
  return out + "'";
}

}  // namespace sablelink::sql
