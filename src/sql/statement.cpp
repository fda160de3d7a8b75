#include "sql/statement.h"

#include <algorithm>
#include <array>

#include "base/ascii.h"

namespace sablelink::sql {
namespace {

bool is_space(char c) { return c == ' ' || (c >= '\t' && c <= '\r'); }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
// Non-ASCII bytes count as letters, since they are part of names in UTF-8.
bool is_letter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' ||
         (static_cast<unsigned char>(c) >= 0x80);
}
bool is_word_char(char c) { return is_letter(c) || is_digit(c) || c == '$'; }

class Lexer {
 public:
  explicit Lexer(std::string_view text) : text_(text) {}

  std::vector<Token> run() {
    while (skip_whitespace_and_comments()) lex_token();
    return std::move(tokens_);
  }

 private:
  char peek(size_t ahead = 0) const {
    return position_ + ahead < text_.size() ? text_[position_ + ahead] : '\0';
  }

  // Skips white space and comments. Returns false at the end of the text.
  bool skip_whitespace_and_comments() {
    while (position_ < text_.size()) {
      if (is_space(peek())) {
        ++position_;
      } else if (peek() == '-' && peek(1) == '-') {
        while (position_ < text_.size() && peek() != '\n') ++position_;
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
        position_ += 2;
      } else if (peek() == '*' && peek(1) == '/') {
        --depth;
        position_ += 2;
      } else {
        ++position_;
      }
    } while (depth > 0 && position_ < text_.size());
    position_ = std::min(position_, text_.size());
  }

  void lex_token() {
    const size_t from = position_;
    const char c = peek();
    if (c == '\'') {
      lex_quoted('\'', false);
      add_token(TokenKind::kString, from);
    } else if ((c == 'e' || c == 'E') && peek(1) == '\'') {
      ++position_;
      lex_quoted('\'', true);
      add_token(TokenKind::kString, from);
    } else if (c == '"' || c == '`') {
      lex_quoted(c, false);
      add_token(TokenKind::kQuotedName, from);
    } else if (c == '$' && lex_dollar_quoted()) {
      add_token(TokenKind::kString, from);
    } else if (is_digit(c) || (c == '.' && is_digit(peek(1)))) {
      lex_number();
      add_token(TokenKind::kNumber, from);
    } else if (is_letter(c)) {
      while (is_word_char(peek()) && position_ < text_.size()) ++position_;
      add_token(TokenKind::kWord, from);
    } else if (c == '?') {
      ++position_;
      add_token(TokenKind::kParameter, from);
    } else {
      ++position_;
      add_token(TokenKind::kSymbol, from);
    }
  }

  // Skips a quoted text. A doubled quote doesn't end it, nor does one after a backslash if these are escapes.
  void lex_quoted(char quote, bool backslash_escapes) {
    ++position_;
    while (position_ < text_.size()) {
      const char c = peek();
      const bool escaped = backslash_escapes && c == '\\';
      const bool doubled = c == quote && peek(1) == quote;
      if (escaped || doubled) {
        position_ += 2;
      } else if (c != quote) {
        ++position_;
      } else {
        ++position_;
        return;
      }
    }
    position_ = std::min(position_, text_.size());
  }

  // Skips a literal of the form $tag$ ... $tag$. Returns false if there is none at the current position.
  bool lex_dollar_quoted() {
    size_t end = position_ + 1;
    while (end < text_.size() && (is_letter(text_[end]) || (end > position_ + 1 && is_digit(text_[end]))))
      ++end;
    if (end >= text_.size() || text_[end] != '$') return false;
    const std::string_view tag = text_.substr(position_, end - position_ + 1);
    const size_t close = text_.find(tag, end + 1);
    position_ = close == std::string_view::npos ? text_.size() : close + tag.size();
    return true;
  }

  void lex_number() {
    while (position_ < text_.size()) {
      const char c = peek();
      const bool is_exponent_sign =
          (c == '+' || c == '-') && (text_[position_ - 1] == 'e' || text_[position_ - 1] == 'E');
      if (!is_digit(c) && !is_letter(c) && c != '.' && !is_exponent_sign) break;
      ++position_;
    }
  }

  void add_token(TokenKind kind, size_t from) {
    tokens_.push_back({kind, text_.substr(from, position_ - from), from});
  }

  std::string_view text_;
  size_t position_ = 0;
  std::vector<Token> tokens_;
};

struct LeadingWord {
  std::string_view word;
  StatementKind kind;
};
constexpr std::array<LeadingWord, 19> kLeadingWords = {{
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

StatementKind kind_of_leading_word(const std::string& word) {
  for (const LeadingWord& lead : kLeadingWords)
    if (lead.word == word) return lead.kind;
  return StatementKind::kOther;
}

// Whether the name of a table follows the word, possibly after words for which may_follow_before_name() is
// true, as in CREATE TABLE IF NOT EXISTS name.
bool precedes_table_name(const std::string& word) {
  return word == "from" || word == "join" || word == "into" || word == "update" || word == "table" ||
         word == "using" || word == "copy";
}
bool may_follow_before_name(const std::string& word) {
  return word == "only" || word == "lateral" || word == "if" || word == "not" || word == "exists" ||
         word == "table";
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

// Reads the table name, qualified or not, that starts at tokens[i] and advances i past it. Returns an empty
// name if there is none.
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

StatementInfo analyze_statement(std::string_view statement) {
  const std::vector<Token> tokens = tokenize(statement);
  StatementInfo info;
  std::vector<std::string> cte_names;  // common table expressions, which aren't tables
  const auto add_table = [&](std::string name) {
    if (name.empty() || std::find(cte_names.begin(), cte_names.end(), name) != cte_names.end() ||
        std::find(info.tables.begin(), info.tables.end(), name) != info.tables.end())
      return;
    info.tables.push_back(std::move(name));
  };
  bool has_kind = false;
  for (size_t i = 0; i < tokens.size();) {
    if (tokens[i].kind != TokenKind::kWord) {
      ++i;
      continue;
    }
    const std::string word = ascii_to_lower(tokens[i].text);
    const StatementKind word_kind = kind_of_leading_word(word);
    if (!has_kind && word_kind != StatementKind::kOther) {
      info.kind = word_kind;
      has_kind = true;
    } else if (has_kind && info.kind == StatementKind::kQuery && i > 0 && tokens[i - 1].text == ")" &&
               word_kind != StatementKind::kOther && word_kind != StatementKind::kQuery) {
      info.kind = word_kind;  // WITH ... AS (...) INSERT ...
    }
    // A name before AS ( is that of a common table expression.
    if (i + 2 < tokens.size() && tokens[i + 1].kind == TokenKind::kWord &&
        ascii_to_lower(tokens[i + 1].text) == "as" && tokens[i + 2].text == "(")
      cte_names.push_back(word);
    ++i;
    if (!precedes_table_name(word)) continue;
    for (;;) {
      while (i < tokens.size() && tokens[i].kind == TokenKind::kWord &&
             may_follow_before_name(ascii_to_lower(tokens[i].text)))
        ++i;
      add_table(read_name(tokens, i));
      // FROM may list several tables: FROM a, b or FROM a AS x, b.
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

std::string bind_parameters(std::string_view statement, const std::vector<std::string>& literals) {
  std::string result;
  size_t copied_bytes = 0;
  size_t next_literal = 0;
  for (const Token& t : tokenize(statement)) {
    if (t.kind != TokenKind::kParameter) continue;
    if (next_literal == literals.size())
      throw ParameterCountError("the statement has more parameters than the " + std::to_string(next_literal) +
                                " bound");
    result.append(statement.substr(copied_bytes, t.offset - copied_bytes));
    result.append(literals[next_literal++]);
    copied_bytes = t.offset + 1;
  }
  if (next_literal != literals.size())
    throw ParameterCountError("the statement has " + std::to_string(next_literal) + " parameters, but " +
                              std::to_string(literals.size()) + " are bound");
  result.append(statement.substr(copied_bytes));
  return result;
}

std::string to_string_literal(std::string_view text) {
  std::string result = "'";
  for (const char c : text) {
    if (c == '\'') result += c;
    result += c;
  }
  return result + "'";
}

}  // namespace sablelink::sql
