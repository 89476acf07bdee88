#include "router/publisher.hpp"

#include <cstdio>

#include <boragehill/table_row.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/table_write.hpp>

#include "kernel/random.hpp"
#include "wire/row_fields.hpp"

namespace boragehill::router {

namespace {

const std::string catalog_key = "catalog";
const std::string profile_prefix = "profile/";
const std::string history_prefix = "history/";

/// Two operators that publish different profiles at once collide on the
/// catalog row only; that race is won by trying again.
constexpr int catalog_tries = 20;
constexpr int read_back_tries = 5;
constexpr int read_published_tries = 5;
constexpr std::size_t publish_id_digits = 16;

std::string history_key(const std::string& name, std::uint64_t revision) {
  char digits[24];
  std::snprintf(digits, sizeof digits, "%012llu",
                static_cast<unsigned long long>(revision));
  return history_prefix + name + "/" + digits;
}

template <class Row>
result<Row> decode(const std::optional<table_row>& row) {
  if (!row) return Row{};
  const auto read = wire::from_text<Row>(row->value);
  if (!read) return make_error_code(result_code::platform_bad_answer);
  return read.value();
}

std::string etag_of(const std::optional<table_row>& row) {
  return row ? row->etag : std::string{};
}

result<std::vector<profile_row>> decode_all(
    const result<std::vector<table_row>>& rows) {
  if (!rows) return rows.error();
  std::vector<profile_row> decoded;
  for (const auto& row : rows.value()) {
    auto one = decode<profile_row>(row);
    if (!one) return one.error();
    decoded.push_back(std::move(one.value()));
  }
  return decoded;
}

}  // namespace

result<std::uint64_t> publisher::publish(profile_row wanted,
                                         std::uint64_t base) {
  // Two publishes without an id could not be told apart when one's answer is
  // lost: each would take the other's row for its own.
  if (wanted.publish_id.empty()) {
    wanted.publish_id = kernel::random_hex(publish_id_digits);
  }
  for (int attempt = 0; attempt < catalog_tries; ++attempt) {
    auto done = this->try_once(wanted, base);
    if (done) return done;
    if (done.error() == result_code::platform_answer_lost) {
      return this->read_back(wanted);
    }
    if (done.error() != result_code::platform_conflict) return done;
  }
  return make_error_code(result_code::profile_conflict);
}

result<std::uint64_t> publisher::try_once(profile_row& wanted,
                                          std::uint64_t base) {
  const std::string key = profile_prefix + wanted.published.name;
  const auto profile_now = this->table.read(key);
  if (!profile_now) return profile_now.error();
  const auto current = decode<profile_row>(profile_now.value());
  if (!current) return current.error();
  const profile_row& standing = current.value();
  // An earlier try of this very publish took effect though its answer was
  // lost; publishing twice would make the operator's own change a conflict.
  if (standing.publish_id == wanted.publish_id) {
    return standing.published.revision;
  }
  if (standing.published.revision != base) {
    return make_error_code(result_code::profile_conflict);
  }
  const auto catalog_now = this->table.read(catalog_key);
  if (!catalog_now) return catalog_now.error();
  const auto read = decode<catalog_row>(catalog_now.value());
  if (!read) return read.error();
  catalog_row next = read.value();
  ++next.revision;
  next.profiles[wanted.published.name] = next.revision;
  wanted.published.revision = next.revision;
  const std::string text = wire::to_text(wanted);
  const auto written = this->table.transact({
      {.key = key, .etag = etag_of(profile_now.value()), .value = text},
      {.key = catalog_key,
       .etag = etag_of(catalog_now.value()),
       .value = wire::to_text(next)},
      {.key = history_key(wanted.published.name, next.revision),
       .etag = {},
       .value = text},
  });
  if (!written) return written.error();
  return next.revision;
}

result<std::uint64_t> publisher::read_back(const profile_row& wanted) {
  // The write may have taken effect, or may yet: what stands under our publish
  // id decides. The history row is read, since a later publish may already
  // have replaced the profile.
  const std::string key =
      history_key(wanted.published.name, wanted.published.revision);
  for (int attempt = 0; attempt < read_back_tries; ++attempt) {
    const auto row = this->table.read(key);
    if (!row) continue;
    if (!row.value()) break;
    const auto standing = decode<profile_row>(row.value());
    if (!standing) break;
    if (standing.value().publish_id == wanted.publish_id) {
      return wanted.published.revision;
    }
    return make_error_code(result_code::profile_conflict);
  }
  return make_error_code(result_code::profile_unconfirmed);
}

result<catalog_row> publisher::read_catalog() {
  const auto row = this->table.read(catalog_key);
  if (!row) return row.error();
  return decode<catalog_row>(row.value());
}

result<published_profiles> publisher::read_published() {
  // The table may read the rows one by one. A publish in between could then
  // show with its later change and without its earlier one, which would stay
  // out of force until the next publish. Rows read after the catalog row and
  // none newer than it are the profiles at just its revision.
  for (int attempt = 0; attempt < read_published_tries; ++attempt) {
    const auto catalog = this->read_catalog();
    if (!catalog) return catalog.error();
    const auto rows = this->read_profiles();
    if (!rows) return rows.error();
    published_profiles read{.revision = catalog.value().revision,
                            .profiles = {}};
    bool torn = false;
    for (const auto& row : rows.value()) {
      torn = torn || row.published.revision > read.revision;
      read.profiles.push_back(row.published);
    }
    if (!torn) return read;
  }
  return make_error_code(result_code::platform_conflict);
}

result<std::vector<profile_row>> publisher::read_profiles() {
  return decode_all(this->table.read_prefix(profile_prefix));
}

result<std::optional<profile_row>> publisher::read_profile(
    const std::string& name) {
  const auto row = this->table.read(profile_prefix + name);
  if (!row) return row.error();
  if (!row.value()) return std::optional<profile_row>{};
  const auto read = decode<profile_row>(row.value());
  if (!read) return read.error();
  return std::optional<profile_row>{read.value()};
}

result<std::vector<profile_row>> publisher::read_history(
    const std::string& name) {
  return decode_all(this->table.read_prefix(history_prefix + name + "/"));
}

}  // namespace boragehill::router
