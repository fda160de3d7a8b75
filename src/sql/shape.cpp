#include "sql/shape.h"

#include <algorithm>
#include <array>
#include <vector>

#include "base/ascii.h"
#include "sql/statement.h"

namespace sablelink::sql {
namespace {

constexpr std::array<std::string_view, 4> kFilterClauses = {"where", "having", "qualify", "limit"};

// Words that end the folding of literals if they are at the clause's own nesting depth. Words that no known
// dialect uses for a clause do no harm: they only leave more literals unfolded.
constexpr std::array<std::string_view, 27> kClauseEndWords = {
    "select", "from",   "group",   "order",  "union",   "intersect", "except", "minus",       "values",
    "with",   "window", "for",     "into",   "option",  "settings",  "format", "returning",   "connect",
    "start",  "pivot",  "unpivot", "sample", "lateral", "model",     "extend", "tablesample", "aggregate"};

template <typename WordList>
bool contains(std::string_view word, const WordList& words) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

// Whether the text between two tokens is white space and comments in every SQL dialect: "-- " up to the end
// of the line, or /* */ without a nested /* and without ! or M!, which make some engines execute the content.
bool is_unambiguous_gap(std::string_view gap) {
  size_t i = 0;
  while (i < gap.size()) {
    if (gap[i] == '-') {
      const bool followed_by_space =
          i + 2 >= gap.size() || gap[i + 2] == ' ' || gap[i + 2] == '\n' || gap[i + 2] == '\t';
      if (!followed_by_space) return false;
      i = std::min(gap.find('\n', i), gap.size());
    } else if (gap[i] == '/') {
      const size_t end = gap.find("*/", i + 2);
      if (end == std::string_view::npos) return false;
      const std::string_view content = gap.substr(i + 2, end - i - 2);
      if (content.starts_with('!') || content.starts_with("M!") ||
          content.find("/*") != std::string_view::npos)
        return false;
      i = end + 2;
    } else {
      ++i;
    }
  }
  return true;
}

// Whether every SQL dialect finds the end of this literal at the same place.
bool is_unambiguous_literal(const Token& t) {
  if (t.kind == TokenKind::kNumber || t.kind == TokenKind::kParameter) return true;
  return t.kind == TokenKind::kString && t.text.size() >= 2 && t.text.front() == '\'' &&
         t.text.back() == '\'' && t.text.find('\\') == std::string_view::npos;
}

class ShapeBuilder {
 public:
  ShapeBuilder(std::string_view statement, bool fold_literals)
      : statement_(statement), fold_literals_(fold_literals) {}

  std::string build() {
    size_t end = 0;
    for (const Token& t : tokenize(statement_)) {
      append_gap(end, t.offset);
      append_token(t);
      end = t.offset + t.text.size();
    }
    append_gap(end, statement_.size());
    return std::move(shape_);
  }

 private:
  // A query block: the top level or the text between parentheses.
  struct Block {
    bool has_from = false, folding = false;
  };

  void append_gap(size_t from, size_t to) {
    const std::string_view text = statement_.substr(from, to - from);
    if (!is_unambiguous_gap(text)) append(text);
  }

  void append(std::string_view text) {
    if (!shape_.empty()) shape_ += ' ';
    shape_ += text;
  }

  void append_token(const Token& t) {
    if (t.kind == TokenKind::kWord) {
      const std::string word = ascii_to_lower(t.text);
      Block& block = blocks_.back();
      if (contains(word, kFilterClauses) && block.has_from) block.folding = true;
      if (contains(word, kClauseEndWords)) block.folding = false;
      if (word == "select") block.has_from = false;
      if (word == "from") block.has_from = true;
    } else if (t.kind == TokenKind::kSymbol) {
      if (t.text == "(")
        // Everything nested in a folded clause is folded, too, as it can't affect the result's columns.
        blocks_.push_back({false, false});
      else if (t.text == ")" && blocks_.size() > 1)
        blocks_.pop_back();
      else if (t.text == "|")
        blocks_.back().folding = false;  // possibly |>, which starts the next step of a pipe query
      else if (t.text == ";")
        blocks_.assign(1, {});
    }
    const bool folded = fold_literals_ && is_unambiguous_literal(t) &&
                        std::any_of(blocks_.begin(), blocks_.end(), [](const Block& b) { return b.folding; });
    if (!folded) {
      append(t.text);
    } else if (shape_.ends_with(" ? ,")) {
      shape_.resize(shape_.size() - 2);  // a list of folded literals is written as one ?
    } else {
      append("?");
    }
  }

  const std::string_view statement_;
  const bool fold_literals_;
  std::string shape_;
  std::vector<Block> blocks_{1};
};

}  // namespace

std::string shape_of(std::string_view statement) { return ShapeBuilder(statement, true).build(); }
std::string exact_shape_of(std::string_view statement) { return ShapeBuilder(statement, false).build(); }

}  // namespace sablelink::sql
