#include "flightsql/prepared.h"

#include <cmath>
#include <cstdio>
#include <cstring>

#include "sql/statement.h"
#include "workload/random.h"

namespace sablelink::flightsql {
namespace {

constexpr size_t kEntryOverheadBytes = 256;  // estimated memory of an entry without its strings

size_t memory_bytes(const PreparedStatements::BoundStatement& bound) {
  size_t bytes = kEntryOverheadBytes + bound.statement.size();
  for (const std::string& literal : bound.literals) bytes += sizeof(std::string) + literal.size();
  return bytes;
}

}  // namespace

PreparedStatements::EntryList::iterator* PreparedStatements::find_and_mark_used(TimeUs now,
                                                                                std::string_view handle) {
  const auto it = entries_by_handle_.find(std::string(handle));
  if (it == entries_by_handle_.end()) return nullptr;
  it->second->last_used_at = now;
  entries_.splice(entries_.end(), entries_, it->second);
  return &it->second;
}

void PreparedStatements::erase(EntryList::iterator it) {
  bytes_ -= it->bytes;
  entries_by_handle_.erase(it->handle);
  entries_.erase(it);
}

bool PreparedStatements::ensure_capacity(TimeUs now, size_t added_count, size_t added_bytes,
                                         const Entry* protected_entry) {
  while (entries_by_handle_.size() + added_count > limits_.max_count ||
         bytes_ + added_bytes > limits_.max_bytes) {
    const auto oldest = entries_.begin();
    if (oldest == entries_.end() || &*oldest == protected_entry ||
        now - oldest->last_used_at < limits_.min_idle_us)
      return false;
    erase(oldest);
  }
  return true;
}

std::optional<std::string> PreparedStatements::create(TimeUs now, std::string_view statement) {
  Entry entry;
  entry.bound.statement = statement;
  entry.bytes = memory_bytes(entry.bound);
  if (!ensure_capacity(now, 1, entry.bytes, nullptr)) return std::nullopt;
  const uint64_t suffix = mix_bits(handle_seed_ + ++last_id_);
  entry.handle.assign(reinterpret_cast<const char*>(&last_id_), 8);
  entry.handle.append(reinterpret_cast<const char*>(&suffix), 8);
  entry.last_used_at = now;
  bytes_ += entry.bytes;
  entries_.push_back(std::move(entry));
  const auto it = std::prev(entries_.end());
  entries_by_handle_[it->handle] = it;
  return it->handle;
}

bool PreparedStatements::bind(TimeUs now, std::string_view handle, std::vector<std::string> literals) {
  const auto* const it = find_and_mark_used(now, handle);
  if (it == nullptr) return false;
  Entry& entry = **it;
  BoundStatement bound{entry.bound.statement, std::move(literals)};
  const size_t bytes = memory_bytes(bound);
  if (bytes > entry.bytes && !ensure_capacity(now, 0, bytes - entry.bytes, &entry)) return false;
  bytes_ += bytes - entry.bytes;
  entry.bytes = bytes;
  entry.bound = std::move(bound);
  return true;
}

bool PreparedStatements::close(std::string_view handle) {
  const auto it = entries_by_handle_.find(std::string(handle));
  if (it == entries_by_handle_.end()) return false;
  erase(it->second);
  return true;
}

std::optional<PreparedStatements::BoundStatement> PreparedStatements::find(TimeUs now,
                                                                           std::string_view handle) {
  const auto* const it = find_and_mark_used(now, handle);
  if (it == nullptr) return std::nullopt;
  return (*it)->bound;
}

namespace {

// Converts days since 1970-01-01 to a date of the proleptic Gregorian calendar, by Howard Hinnant's algorithm
// of the same name.
void civil_from_days(int64_t days, int64_t& year, int& month, int& day) {
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
  static constexpr int64_t kUnitsPerSecond[] = {1, 1'000, 1'000'000, 1'000'000'000};
  static constexpr int kDigits[] = {0, 3, 6, 9};
  const int64_t units_per_second = kUnitsPerSecond[static_cast<int>(unit)];
  int64_t seconds = value / units_per_second;
  int64_t fraction = value % units_per_second;
  if (fraction < 0) {
    fraction += units_per_second;
    --seconds;
  }
  int64_t days = seconds / 86400;
  int64_t second_of_day = seconds % 86400;
  if (second_of_day < 0) {
    second_of_day += 86400;
    --days;
  }
  int64_t year = 0;
  int month = 0;
  int day = 0;
  civil_from_days(days, year, month, day);
  char text[96];
  int length = std::snprintf(text, sizeof(text), "%04lld-%02d-%02d %02d:%02d:%02d",
                             static_cast<long long>(year), month, day, static_cast<int>(second_of_day / 3600),
                             static_cast<int>(second_of_day / 60 % 60), static_cast<int>(second_of_day % 60));
  if (kDigits[static_cast<int>(unit)] > 0)
    length += std::snprintf(text + length, sizeof(text) - length, ".%0*lld", kDigits[static_cast<int>(unit)],
                            static_cast<long long>(fraction));
  return "TIMESTAMP '" + std::string(text, length) + (zoned ? "+00'" : "'");
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

std::string to_sql_literal(const arrowipc::Field& field, const arrowipc::Array& column, int64_t row) {
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
      // Without a decimal point or exponent, SQL would parse an integer.
      return std::strpbrk(text, ".eE") != nullptr ? text : std::string(text) + ".0";
    }
    case Type::kUtf8:
      return sql::to_string_literal(column.bytes_at(row));
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
