#include "platform/text_values.h"

#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <system_error>

namespace sablelink::platform {
namespace {

bool is_allowed_ascii(unsigned char c) {
  if (c == '\t' || c == '\n' || c == '\r') return true;
  return c >= 0x20 && c < 0x7f;
}

// The length of a UTF-8 sequence with this first byte; 0 if no sequence can start with it.
size_t utf8_sequence_length(unsigned char lead) {
  if (lead < 0x80) return 1;
  if (lead >= 0xc2 && lead <= 0xdf) return 2;
  if (lead >= 0xe0 && lead <= 0xef) return 3;
  if (lead >= 0xf0 && lead <= 0xf4) return 4;
  return 0;
}

bool is_unicode_scalar(uint32_t code_point) {
  const bool is_surrogate = code_point >= 0xd800 && code_point <= 0xdfff;
  return code_point <= 0x10ffff && !is_surrogate;
}

// The length of the valid multi-byte UTF-8 sequence at the start of the text; 0 if there is none (RFC 3629).
size_t multibyte_length(std::string_view text) {
  const auto lead = static_cast<unsigned char>(text.front());
  const size_t length = utf8_sequence_length(lead);
  if (length < 2 || text.size() < length) return 0;
  uint32_t code_point = lead & (0x7f >> length);
  for (size_t i = 1; i < length; ++i) {
    const auto continuation = static_cast<unsigned char>(text[i]);
    if ((continuation & 0xc0) != 0x80) return 0;
    code_point = code_point << 6 | (continuation & 0x3f);
  }
  const bool is_overlong = (length == 3 && code_point < 0x800) || (length == 4 && code_point < 0x10000);
  return !is_overlong && is_unicode_scalar(code_point) ? length : 0;
}

}  // namespace

bool is_valid_text(std::string_view text) {
  while (!text.empty()) {
    const auto first = static_cast<unsigned char>(text.front());
    size_t length = 0;
    if (first >= 0x80)
      length = multibyte_length(text);
    else if (is_allowed_ascii(first))
      length = 1;
    if (length == 0) return false;
    text.remove_prefix(length);
  }
  return true;
}

std::optional<double> parse_non_negative(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return value;
}

}  // namespace sablelink::platform
