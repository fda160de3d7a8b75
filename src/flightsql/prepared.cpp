#include "flightsql/prepared.h"

#include <cmath>
#include <cstdio>
#include <cstring>

#include "sql/statement.h"
#include "workload/random.h"

namespace sablelink::flightsql {
namespace {

constexpr size_t kEntryBytes = 256;  // what an entry takes beside its texts, about

size_t bytes_of(const PreparedStatements::Found& f) {
  size_t bytes = kEntryBytes + f.statement.size();
  for (const std::string& literal : f.literals) bytes += sizeof(std::string) + literal.size();
  return bytes;
}

}  // namespace

PreparedStatements::Order::iterator* PreparedStatements::touch(TimeUs now, std::string_view handle) {
  const auto it = entries_.find(std::string(handle));
  if (it == entries_.end()) return nullptr;
  it->second->used_at = now;
  order_.splice(order_.end(), order_, it->second);
  return &it->second;
}

void PreparedStatements::erase(Order::iterator it) {
  bytes_ -= it->bytes;
  entries_.erase(it->handle);
  order_.erase(it);
}

bool PreparedStatements::make_room(TimeUs now, size_t count, size_t bytes, const Entry* keep) {
  while (entries_.size() + count > limits_.count || bytes_ + bytes > limits_.bytes) {
    const auto oldest = order_.begin();
    if (oldest == order_.end() || &*oldest == keep || now - oldest->used_at < limits_.idle_us) return false;
    erase(oldest);
  }
  return true;
}

std::optional<std::string> PreparedStatements::create(TimeUs now, std::string_view statement) {
  Entry entry;
  entry.value.statement = statement;
  entry.bytes = bytes_of(entry.value);
  if (!make_room(now, 1, entry.bytes, nullptr)) return std::nullopt;
  const uint64_t tag = mix(handle_seed_ + ++last_);
  entry.handle.assign(reinterpret_cast<const char*>(&last_), 8);
  entry.handle.append(reinterpret_cast<const char*>(&tag), 8);
  entry.used_at = now;
  bytes_ += entry.bytes;
  order_.push_back(std::move(entry));
  const auto it = std::prev(order_.end());
  entries_[it->handle] = it;
  return it->handle;
}

bool PreparedStatements::bind(TimeUs now, std::string_view handle, std::vector<std::string> literals) {
  const auto* const it = touch(now, handle);
  if (it == nullptr) return false;
  Entry& entry = **it;
  Found value{entry.value.statement, std::move(literals)};
  const size_t bytes = bytes_of(value);
  if (bytes > entry.bytes && !make_room(now, 0, bytes - entry.bytes, &entry)) return false;
  bytes_ += bytes - entry.bytes;
  entry.bytes = bytes;
  entry.value = std::move(value);
  return true;
}

bool PreparedStatements::close(std::string_view handle) {
  const auto it = entries_.find(std::string(handle));
  if (it == entries_.end()) return false;
  erase(it->second);
  return true;
}

std::optional<PreparedStatements::Found> PreparedStatements::find(TimeUs now, std::string_view handle) {
  const auto* const it = touch(now, handle);
  if (it == nullptr) return std::nullopt;
  return (*it)->value;
}

namespace {

// Days since 1970 to a date of the proleptic Gregorian calendar (Howard Hinnant's civil_from_days).
void civil(int64_t days, int64_t& year, int& month, int& day) {
  days += 719468;
  const int64_t era = (days >= 0 ? days : days - 146096) / 146097;
  const auto doe = static_cast<int64_t>(days - era * 146097);
  const int64_t yoe = (doe - doe / 1460 + doe / 36524 - doe / 146096) / 365;
  const int64_t doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
  const int64_t mp = (5 * doy + 2) / 153;
  day = static_cast<int>(doy - (153 * mp + 2) / 5 + 1);
  month = static_cast<int>(mp < 10 ? mp + 3 : mp - 9);
  year = yoe + era * 400 + (month <= 2 ? 1 : 0);
}

std::string timestamp_literal(int64_t value, arrowipc::TimeUnit unit, bool zoned) {
  static constexpr int64_t kPerSecond[] = {1, 1'000, 1'000'000, 1'000'000'000};
  static constexpr int kDigits[] = {0, 3, 6, 9};
  const int64_t per = kPerSecond[static_cast<int>(unit)];
  int64_t seconds = value / per;
  int64_t rest = value % per;
  if (rest < 0) {
    rest += per;
    --seconds;
  }
  int64_t days = seconds / 86400;
  int64_t of_day = seconds % 86400;
  if (of_day < 0) {
    of_day += 86400;
    --days;
  }
  int64_t year = 0;
  int month = 0;
  int day = 0;
  civil(days, year, month, day);
  char text[96];
  int n = std::snprintf(text, sizeof(text), "%04lld-%02d-%02d %02d:%02d:%02d", static_cast<long long>(year),
                        month, day, static_cast<int>(of_day / 3600), static_cast<int>(of_day / 60 % 60),
                        static_cast<int>(of_day % 60));
  if (kDigits[static_cast<int>(unit)] > 0)
    n += std::snprintf(text + n, sizeof(text) - n, ".%0*lld", kDigits[static_cast<int>(unit)],
                       static_cast<long long>(rest));
  return "TIMESTAMP '" + std::string(text, n) + (zoned ? "+00'" : "'");
}

std::string hex_literal(std::string_view bytes) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out = "X'";
  for (const char c : bytes) {
    out += kHex[static_cast<unsigned char>(c) >> 4];
    out += kHex[c & 15];
  }
  return out + "'";
}

}  // namespace

std::string literal_of(const arrowipc::Field& field, const arrowipc::Array& column, int64_t row) {
  using arrowipc::Type;
  if (column.is_null(row)) return "NULL";
  switch (field.type) {
    case Type::kBool:
      return column.bool_at(row) ? "TRUE" : "FALSE";
    case Type::kInt32:
    case Type::kInt64:
    case Type::kUint8:
    case Type::kUint32:
      return std::to_string(column.integer_at(row));
    case Type::kDouble: {
      const double value = column.double_at(row);
      if (!std::isfinite(value))
        throw arrowipc::FormatError("parameter '" + field.name + "' is not a finite number");
      char text[40];
      std::snprintf(text, sizeof(text), "%.17g", value);
      // Without a point or exponent it would read as an integer.
      return std::strpbrk(text, ".eE") != nullptr ? text : std::string(text) + ".0";
    }
    case Type::kUtf8:
      return sql::quote(column.bytes_at(row));
    case Type::kBinary:
      return hex_literal(column.bytes_at(row));
    case Type::kTimestamp:
      return timestamp_literal(column.integer_at(row), field.unit, !field.timezone.empty());
    default:
      throw arrowipc::FormatError("parameter '" + field.name + "': a " + std::string(type_name(field.type)) +
                                  " has no literal");
  }
}

}  // namespace sablelink::flightsql
