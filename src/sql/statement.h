// What a statement's words alone tell: its kind, the tables that it names, where its parameters stand. A
// statement that isn't understood is still one: its kind is then kOther, and it is routed like any other.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "workload/error.h"

namespace sablelink::sql {

enum class StatementKind { kQuery, kInsert, kUpdate, kDelete, kMerge, kLoad, kDefinition, kOther };
const char* kind_name(StatementKind kind);

enum class TokenKind { kWord, kQuotedName, kString, kNumber, kParameter, kSymbol };

struct Token {
  TokenKind kind = TokenKind::kSymbol;
  std::string_view text;  // as it stands in the statement, quotes included
  size_t at = 0;          // its first byte's position
};

// Words, names, literals and signs; comments and white space are left out. Understands 'it''s', E'\n',
// "a ""name""", `name`, [name] after a dot or FROM-like word is not told from a subscript and read as signs,
// $tag$ bodies, -- and nested /* */ comments. A quote or comment that never ends reaches to the end.
std::vector<Token> tokenize(std::string_view statement);

struct StatementInfo {
  StatementKind kind = StatementKind::kOther;
  bool writes = false;
  std::vector<std::string> tables;  // in order of appearance, each once; unquoted parts in lower case
};
StatementInfo inspect(std::string_view statement);

/// A statement has more or fewer placeholders than there are literals for them.
struct ParameterCountError : Error {
  using Error::Error;
};

// The statement with its ? placeholders replaced by the literals, in order. Throws ParameterCountError where
// their numbers differ.
std::string substitute(std::string_view statement, const std::vector<std::string>& literals);
size_t count_parameters(std::string_view statement);

// A text as SQL literal.
std::string quote(std::string_view text);

}  // namespace sablelink::sql
