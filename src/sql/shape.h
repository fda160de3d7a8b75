// Keys for statements whose results have the same columns.
#pragma once

#include <string>
#include <string_view>

namespace sablelink::sql {

// Returns the statement without comments and with a single space between tokens. Literals and parameters that
// can't affect the columns of the result are folded: each, or a list of them, is written as one "?". These
// are the ones after WHERE, HAVING, QUALIFY or LIMIT, up to the end of that clause, in a SELECT whose FROM
// precedes it. All other text is kept byte for byte, since another number in a select list may have another
// type.
//
// SQL dialects disagree on nested comments, "--" without a space, comments of the form /*! */ and backslashes
// in strings. Where these occur, nothing is removed or folded, so that statements of equal shape differ for
// every engine only in white space, comments and folded literals.
std::string shape_of(std::string_view statement);

// Like shape_of, but without folding. The types of a prepared statement's parameters are cached by this key.
std::string exact_shape_of(std::string_view statement);

}  // namespace sablelink::sql
