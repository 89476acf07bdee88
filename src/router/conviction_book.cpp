#include "router/conviction_book.hpp"

#include <algorithm>
#include <utility>

#include <boragehill/result_code.hpp>
#include <boragehill/table_row.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/table_write.hpp>

namespace boragehill::router {

namespace {

const std::string conviction_prefix = "conviction/";

}  // namespace

void conviction_book::add_own(const std::string& fingerprint) {
  const std::lock_guard lock(this->mutex);
  if (this->add_locked(fingerprint)) this->unwritten.push_back(fingerprint);
}

bool conviction_book::add(const std::string& fingerprint) {
  const std::lock_guard lock(this->mutex);
  return this->add_locked(fingerprint);
}

bool conviction_book::contains(const std::string& fingerprint) const {
  const std::lock_guard lock(this->mutex);
  return this->known.contains(fingerprint);
}

std::vector<std::string> conviction_book::latest(std::size_t most) const {
  const std::lock_guard lock(this->mutex);
  const std::size_t count = std::min(most, this->by_age.size());
  return {this->by_age.rbegin(),
          this->by_age.rbegin() + static_cast<std::ptrdiff_t>(count)};
}

std::vector<std::string> conviction_book::sync(table_service& table) {
  std::vector<std::string> to_write;
  {
    const std::lock_guard lock(this->mutex);
    to_write = std::exchange(this->unwritten, {});
  }
  for (const auto& fingerprint : to_write) {
    const auto written = table.transact(
        {{.key = conviction_prefix + fingerprint, .etag = {}, .value = "{}"}});
    const bool stands =
        written || written.error() == result_code::platform_conflict;
    if (stands) continue;
    const std::lock_guard lock(this->mutex);
    this->unwritten.push_back(fingerprint);
  }
  std::vector<std::string> learned;
  const auto rows = table.read_prefix(conviction_prefix);
  if (!rows) return learned;
  for (const auto& row : rows.value()) {
    std::string fingerprint = row.key.substr(conviction_prefix.size());
    if (this->add(fingerprint)) learned.push_back(std::move(fingerprint));
  }
  return learned;
}

std::size_t conviction_book::size() const {
  const std::lock_guard lock(this->mutex);
  return this->by_age.size();
}

bool conviction_book::add_locked(const std::string& fingerprint) {
  if (!this->known.insert(fingerprint).second) return false;
  this->by_age.push_back(fingerprint);
  if (this->by_age.size() > this->capacity) {
    this->known.erase(this->by_age.front());
    this->by_age.pop_front();
  }
  return true;
}

}  // namespace boragehill::router
