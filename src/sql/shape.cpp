#include "sql/shape.h"

#include <algorithm>
#include <array>
#include <vector>

#include "base/ascii.h"
#include "sql/statement.h"

namespace sablelink::sql {
namespace {

constexpr std::array<std::string_view, 4> kFiltering = {"where", "having", "qualify", "limit"};

// Words that end a clause whose literals are folded, at its own depth. Words that belong to no clause of any
// dialect known cost nothing here: less is folded.
constexpr std::array<std::string_view, 27> kEnding = {
    "select", "from",   "group",   "order",  "union",   "intersect", "except", "minus",       "values",
    "with",   "window", "for",     "into",   "option",  "settings",  "format", "returning",   "connect",
    "start",  "pivot",  "unpivot", "sample", "lateral", "model",     "extend", "tablesample", "aggregate"};

template <typename Words>
bool among(std::string_view word, const Words& words) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

// White space and comments on which every reader agrees: "-- " to the line's end, /* */ without another
// beginning inside and without a sign that makes its content count.
bool plain_gap(std::string_view gap) {
  size_t i = 0;
  while (i < gap.size()) {
    if (gap[i] == '-') {
      const bool spaced =
          i + 2 >= gap.size() || gap[i + 2] == ' ' || gap[i + 2] == '\n' || gap[i + 2] == '\t';
      if (!spaced) return false;
      i = std::min(gap.find('\n', i), gap.size());
    } else if (gap[i] == '/') {
      const size_t end = gap.find("*/", i + 2);
      if (end == std::string_view::npos) return false;
      const std::string_view inside = gap.substr(i + 2, end - i - 2);
      if (inside.starts_with('!') || inside.starts_with("M!") || inside.find("/*") != std::string_view::npos)
        return false;
      i = end + 2;
    } else {
      ++i;
    }
  }
  return true;
}

// A literal whose end every reader sees at the same place.
bool plain_literal(const Token& t) {
  if (t.kind == TokenKind::kNumber || t.kind == TokenKind::kParameter) return true;
  return t.kind == TokenKind::kString && t.text.size() >= 2 && t.text.front() == '\'' &&
         t.text.back() == '\'' && t.text.find('\\') == std::string_view::npos;
}

class Shaper {
 public:
  Shaper(std::string_view statement, bool fold) : statement_(statement), fold_(fold) {}

  std::string run() {
    size_t end = 0;
    for (const Token& t : tokenize(statement_)) {
      gap(end, t.at);
      token(t);
      end = t.at + t.text.size();
    }
    gap(end, statement_.size());
    return std::move(out_);
  }

 private:
  // One query block, between parentheses or at the top.
  struct Block {
    bool named_from = false, folding = false;
  };

  void gap(size_t from, size_t to) {
    const std::string_view text = statement_.substr(from, to - from);
    if (!plain_gap(text)) put(text);
  }

  void put(std::string_view text) {
    if (!out_.empty()) out_ += ' ';
    out_ += text;
  }

  void token(const Token& t) {
    if (t.kind == TokenKind::kWord) {
      const std::string word = ascii_to_lower(t.text);
      Block& block = blocks_.back();
      if (among(word, kFiltering) && block.named_from) block.folding = true;
      if (among(word, kEnding)) block.folding = false;
      if (word == "select") block.named_from = false;
      if (word == "from") block.named_from = true;
    } else if (t.kind == TokenKind::kSymbol) {
      if (t.text == "(")
        // Within a folded clause whatever is nested is folded too: it can't reach the columns.
        blocks_.push_back({false, false});
      else if (t.text == ")" && blocks_.size() > 1)
        blocks_.pop_back();
      else if (t.text == "|")
        blocks_.back().folding = false;  // perhaps a pipe's next step
      else if (t.text == ";")
        blocks_.assign(1, {});
    }
    const bool folded = fold_ && plain_literal(t) &&
                        std::any_of(blocks_.begin(), blocks_.end(), [](const Block& b) { return b.folding; });
    if (!folded) {
      put(t.text);
    } else if (out_.ends_with(" ? ,")) {
      out_.resize(out_.size() - 2);  // ?, ? is ?
    } else {
      put("?");
    }
  }

  const std::string_view statement_;
  const bool fold_;
  std::string out_;
  std::vector<Block> blocks_{1};
};

}  // namespace

std::string shape_of(std::string_view statement) { return Shaper(statement, true).run(); }
std::string exact_shape_of(std::string_view statement) { return Shaper(statement, false).run(); }

}  // namespace sablelink::sql
