// Lexical analysis of SQL statements: kind, tables, and positions of parameters. There is no grammar and no
// syntax error: an unrecognised statement has the kind kOther and is routed like any other.
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
  std::string_view text;  // the statement's own text, including quotes
  size_t offset = 0;      // offset of its first byte in the statement
};

// Splits a statement into words, names, literals and symbols; comments and white space are skipped.
// Recognises 'it''s', E'\n', "a ""name""", `name`, $tag$ bodies, -- comments and nested /* */ comments.
// [name] can't be distinguished from a subscript, so its brackets are symbols. An unterminated quote or
// comment extends to the end of the statement.
std::vector<Token> tokenize(std::string_view statement);

struct StatementInfo {
  StatementKind kind = StatementKind::kOther;
  bool writes = false;
  std::vector<std::string> tables;  // in order of appearance, each once; unquoted parts in lower case
};
StatementInfo analyze_statement(std::string_view statement);

/// The number of placeholders in a statement differs from the number of literals bound to them.
struct ParameterCountError : Error {
  using Error::Error;
};

// Returns the statement with its ? placeholders replaced by the literals, in order. Throws
// ParameterCountError if their numbers differ.
std::string bind_parameters(std::string_view statement, const std::vector<std::string>& literals);
size_t count_parameters(std::string_view statement);

// Returns the text as an SQL string literal.
std::string to_string_literal(std::string_view text);

}  // namespace sablelink::sql
