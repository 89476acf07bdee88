#include "agent/own_row.hpp"

#include <optional>
#include <utility>

#include <boragehill/result_code.hpp>
#include <boragehill/table_row.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/table_write.hpp>

#include "wire/row_fields.hpp"

namespace boragehill::agent {

namespace {

server_record next_record(const server_record& base, const server_record& last,
                          std::uint64_t capacity_bytes) {
  return {
      .id = base.id,
      .fence = last.fence + 1,
      .capacity_bytes =
          capacity_bytes > 0 ? capacity_bytes : last.capacity_bytes,
      .failure_domain = base.failure_domain,
      .pool = base.pool,
      .grants = last.grants,
      .last_serial = last.last_serial,
  };
}

}  // namespace

own_row::own_row(table_service& table, server_record base)
    : table(&table), base(std::move(base)), key("server/" + this->base.id) {}

result<std::uint64_t> own_row::take_fence(std::uint64_t capacity_bytes) {
  const auto row = this->table->read(this->key);
  if (!row) return row.error();
  server_record last;
  std::string etag;
  if (row.value()) {
    auto parsed = wire::from_text<server_record>(row.value()->value);
    if (!parsed) return parsed.error();
    last = std::move(parsed).value();
    etag = row.value()->etag;
  }
  const server_record next = next_record(this->base, last, capacity_bytes);
  const auto written = this->table->transact(
      {{.key = this->key, .etag = etag, .value = wire::to_text(next)}});
  if (!written) return written.error();
  return next.fence;
}

result<server_record> own_row::read() {
  const auto row = this->table->read(this->key);
  if (!row) return row.error();
  if (!row.value()) return result_code::platform_not_found;
  return wire::from_text<server_record>(row.value()->value);
}

}  // namespace boragehill::agent
