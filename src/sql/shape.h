// Keys of statements whose answers have the same columns.
#pragma once

#include <string>
#include <string_view>

namespace sablelink::sql {

// The statement without white space and plain comments. Literals and parameters that can't have a say in an
// answer's columns are written as "?", lists of them as one: those behind WHERE, HAVING, QUALIFY and LIMIT of
// a SELECT that has named its FROM, up to the clause's end. Everything else stays as it is, letter by letter:
// another number in a select list may be another type. Where readers may disagree on what is a comment or a
// string (nested comments, "--" without a space, /*! */, backslashes in strings), nothing is left out or
// folded there, so that two statements with one shape are one statement to every engine.
std::string shape_of(std::string_view statement);

// The same with nothing folded: what a prepared statement's parameters hang on.
std::string exact_shape_of(std::string_view statement);

}  // namespace sablelink::sql
