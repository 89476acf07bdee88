#include "router/placement_store.hpp"

#include <optional>

#include <boragehill/table_row.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/table_write.hpp>

#include "decide/grant_change.hpp"
#include "wire/row_fields.hpp"

namespace boragehill::router {

namespace {

const std::string placement_prefix = "placement/";
const std::string server_prefix = "server/";

template <class Row>
result<Row> decode(const table_row& row) {
  const auto read = wire::from_text<Row>(row.value);
  if (!read) return make_error_code(result_code::platform_bad_answer);
  return read.value();
}

}  // namespace

/// The two rows as read, with their etags.
struct placement_store::rows {
  placement model_row;
  std::string model_etag;
  server_record server_row;
  std::string server_etag;
};

result<placement> placement_store::read(const std::string& model) {
  const auto row = this->table.read(placement_prefix + model);
  if (!row) return row.error();
  if (!row.value()) return placement{model, {}};
  return decode<placement>(*row.value());
}

result<std::vector<server_record>> placement_store::read_servers() {
  const auto rows = this->table.read_prefix(server_prefix);
  if (!rows) return rows.error();
  std::vector<server_record> servers;
  for (const auto& row : rows.value()) {
    auto server = decode<server_record>(row);
    if (!server) return server.error();
    servers.push_back(std::move(server.value()));
  }
  return servers;
}

result<placement> placement_store::add(const std::string& server,
                                       const grant& added) {
  const auto before = this->read_both(server, added.model);
  if (!before) return before.error();
  const rows& now = before.value();
  const auto change = decide::add_grant(now.model_row, now.server_row, added);
  if (!change) return make_error_code(result_code::no_memory);
  return this->write_both(now, change->model_row, change->server_row);
}

result<placement> placement_store::remove(
    const std::string& server, const std::string& model,
    const decide::grant_acknowledgement& given) {
  const auto before = this->read_both(server, model);
  if (!before) return before.error();
  const rows& now = before.value();
  const auto change =
      decide::remove_grant(now.model_row, now.server_row, model, given);
  if (!change) return make_error_code(result_code::order_fenced);
  return this->write_both(now, change->model_row, change->server_row);
}

result<placement> placement_store::remove_gone(const std::string& server,
                                               const std::string& model) {
  const auto before = this->read_both(server, model);
  if (!before) return before.error();
  const rows& now = before.value();
  const auto change =
      decide::remove_grant_of_lost_server(now.model_row, now.server_row, model);
  if (!change) return now.model_row;
  return this->write_both(now, change->model_row, change->server_row);
}

result<placement_store::rows> placement_store::read_both(
    const std::string& server, const std::string& model) {
  rows both;
  both.model_row.model = model;
  both.server_row.id = server;
  const auto model_row = this->table.read(placement_prefix + model);
  if (!model_row) return model_row.error();
  if (model_row.value()) {
    const auto read = decode<placement>(*model_row.value());
    if (!read) return read.error();
    both.model_row = read.value();
    both.model_etag = model_row.value()->etag;
  }
  const auto server_row = this->table.read(server_prefix + server);
  if (!server_row) return server_row.error();
  if (server_row.value()) {
    const auto read = decode<server_record>(*server_row.value());
    if (!read) return read.error();
    both.server_row = read.value();
    both.server_etag = server_row.value()->etag;
  }
  return both;
}

result<placement> placement_store::write_both(const rows& before,
                                              const placement& model_row,
                                              const server_record& server_row) {
  const auto written = this->table.transact({
      {.key = placement_prefix + model_row.model,
       .etag = before.model_etag,
       .value = wire::to_text(model_row)},
      {.key = server_prefix + server_row.id,
       .etag = before.server_etag,
       .value = wire::to_text(server_row)},
  });
  if (!written) return written.error();
  return model_row;
}

}  // namespace boragehill::router
