#include "router/conviction_book.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boragehill/result_code.hpp>
#include <boragehill/table_row.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/table_write.hpp>

#include "kernel/wall_clock.hpp"

namespace boragehill::router {

namespace {

const std::string conviction_prefix = "conviction/";
constexpr milliseconds told_for{60000};

/// A row's value is the wall-clock time of its conviction, in milliseconds.
std::int64_t time_of(const table_row& row) {
  std::int64_t at = 0;
  const char* begin = row.value.data();
  std::from_chars(begin, begin + row.value.size(), at);
  return at;
}

}  // namespace

conviction_book::conviction_book(std::size_t most, milliseconds how_long)
    : capacity(most), keep(how_long) {}

void conviction_book::add_own(const std::string& fingerprint, time_point now) {
  const std::lock_guard lock(this->mutex);
  if (!this->add_locked(fingerprint, now)) return;
  this->unwritten.push_back(fingerprint);
}

bool conviction_book::add(const std::string& fingerprint, time_point now) {
  const std::lock_guard lock(this->mutex);
  return this->add_locked(fingerprint, now);
}

bool conviction_book::contains(const std::string& fingerprint) const {
  const std::lock_guard lock(this->mutex);
  return this->known.contains(fingerprint);
}

std::vector<std::string> conviction_book::latest(std::size_t most,
                                                 time_point now) const {
  const std::lock_guard lock(this->mutex);
  const std::size_t count = std::min(most, this->by_age.size());
  std::vector<std::string> told;
  for (std::size_t i = 0; i < count; ++i) {
    const entry& each = this->by_age[this->by_age.size() - 1 - i];
    if (now - each.at > told_for) break;
    told.push_back(each.fingerprint);
  }
  return told;
}

void conviction_book::write_down(table_service& table) {
  std::vector<std::string> to_write;
  {
    const std::lock_guard lock(this->mutex);
    to_write = std::exchange(this->unwritten, {});
  }
  for (const auto& fingerprint : to_write) {
    const auto written =
        table.transact({{.key = conviction_prefix + fingerprint,
                         .etag = {},
                         .value = std::to_string(kernel::wall_clock_ms())}});
    const bool stands =
        written || written.error() == result_code::platform_conflict;
    if (stands) continue;
    const std::lock_guard lock(this->mutex);
    this->unwritten.push_back(fingerprint);
  }
}

std::vector<std::string> conviction_book::read_all(table_service& table,
                                                   time_point now) {
  std::vector<std::string> learned;
  const auto rows = table.read_prefix(conviction_prefix);
  if (!rows) return learned;
  const std::int64_t oldest = kernel::wall_clock_ms() - this->keep.count();
  for (const auto& row : rows.value()) {
    if (time_of(row) < oldest) {
      (void)table.transact(
          {{.key = row.key, .etag = row.etag, .value = std::nullopt}});
      continue;
    }
    std::string fingerprint = row.key.substr(conviction_prefix.size());
    if (this->add(fingerprint, now)) learned.push_back(std::move(fingerprint));
  }
  return learned;
}

void conviction_book::expire(time_point now) {
  const std::lock_guard lock(this->mutex);
  while (!this->by_age.empty() && now - this->by_age.front().at > this->keep) {
    this->drop_oldest();
  }
}

std::size_t conviction_book::size() const {
  const std::lock_guard lock(this->mutex);
  return this->by_age.size();
}

bool conviction_book::add_locked(const std::string& fingerprint,
                                 time_point now) {
  if (!this->known.insert(fingerprint).second) return false;
  this->by_age.push_back({fingerprint, now});
  if (this->by_age.size() > this->capacity) this->drop_oldest();
  return true;
}

void conviction_book::drop_oldest() {
  this->known.erase(this->by_age.front().fingerprint);
  this->by_age.pop_front();
}

}  // namespace boragehill::router
