#include "platform/settings_lines.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "platform/json_fields.h"

namespace sablelink::platform {
namespace {

namespace json = boost::json;

bool is_scalar(const json::value& value) { return !value.is_object() && !value.is_array(); }

// Separators within a string would end its line or list element.
std::string replace_separators(std::string text) {
  for (char& c : text)
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  return text;
}

std::string format_scalar(const json::value& value) {
  if (value.is_string()) return replace_separators(string_value(value));
  if (value.is_null()) return "";
  if (!value.is_double()) return json::serialize(value);
  char digits[64];
  const auto result = std::to_chars(digits, digits + sizeof(digits), value.get_double());
  return std::string(digits, result.ptr);
}

std::string member_path(const std::string& path, std::string_view key) {
  std::string out = path;
  if (!out.empty()) out += '.';
  out += key;
  return out;
}

class LineWriter {
 public:
  void write_object(const json::object& object, const std::string& path) {
    for (const auto& [key, member] : object) {
      write(member, member_path(path, key));
    }
  }
  std::string release() { return std::move(lines_); }

 private:
  void write(const json::value& value, const std::string& path) {
    if (const json::object* object = value.if_object()) {
      write_object(*object, path);
    } else if (const json::array* array = value.if_array()) {
      write_array(*array, path);
    } else {
      write_line(path, format_scalar(value));
    }
  }

  void write_array(const json::array& array, const std::string& path) {
    if (std::all_of(array.begin(), array.end(), is_scalar)) {
      std::string list;
      for (const json::value& element : array) {
        if (!list.empty()) list += ',';
        list += format_scalar(element);
      }
      write_line(path, list);
      return;
    }
    write_line(path + ".count", std::to_string(array.size()));
    for (size_t i = 0; i < array.size(); ++i) write(array[i], member_path(path, std::to_string(i)));
  }

  void write_line(const std::string& path, const std::string& value) { lines_ += path + "=" + value + "\n"; }

  std::string lines_;
};

}  // namespace

std::string to_settings_lines(const json::object& settings) {
  LineWriter writer;
  writer.write_object(settings, "");
  return writer.release();
}

}  // namespace sablelink::platform
