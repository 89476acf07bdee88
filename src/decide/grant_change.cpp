#include "decide/grant_change.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::decide {

namespace {

bool names_server(const placement& row, const std::string& server) {
  return std::ranges::find(row.servers, server) != row.servers.end();
}

bool holds_grant(const server_record& row, const std::string& model) {
  return std::ranges::find(row.grants, model, &grant::model) !=
         row.grants.end();
}

/// Removes the grant from both rows. One of them may lack it if an operator
/// repaired a row by hand.
std::optional<grant_change> without_grant(const placement& model_row,
                                          const server_record& server_row,
                                          const std::string& model) {
  if (model_row.model != model) return std::nullopt;
  if (!names_server(model_row, server_row.id) &&
      !holds_grant(server_row, model)) {
    return std::nullopt;
  }
  grant_change change{model_row, server_row};
  std::erase(change.model_row.servers, server_row.id);
  std::erase_if(change.server_row.grants,
                [&](const grant& held) { return held.model == model; });
  return change;
}

}  // namespace

std::optional<grant_change> add_grant(const placement& model_row,
                                      const server_record& server_row,
                                      const grant& added) {
  if (added.model != model_row.model) return std::nullopt;
  if (added.bytes > server_row.capacity_bytes) return std::nullopt;
  const bool is_named = names_server(model_row, server_row.id);
  const bool has_grant = holds_grant(server_row, added.model);
  if (is_named && has_grant) return std::nullopt;
  grant_change change{model_row, server_row};
  if (!is_named) change.model_row.servers.push_back(server_row.id);
  if (!has_grant) {
    grant numbered = added;
    numbered.serial = ++change.server_row.last_serial;
    change.server_row.grants.push_back(std::move(numbered));
  }
  return change;
}

std::optional<grant_change> remove_grant(
    const placement& model_row, const server_record& server_row,
    const std::string& model, const grant_acknowledgement& given_up) {
  // An acknowledgement can arrive after its agent restarted, found the grant
  // still in the row and loaded the model again. Removing the grant then would
  // leave one replica too many. A restart raises the fencing number before it
  // reads the row, so the acknowledgement's number is outdated; after a restart
  // that follows this check, the row's etag fails the transaction.
  if (server_row.fence != given_up.fence) return std::nullopt;
  // It can also arrive late at another home, after one home removed the grant
  // and granted the same server a new one. Applied to the new grant, it would
  // remove the grant of a loaded replica.
  const auto held = std::ranges::find(server_row.grants, model, &grant::model);
  const bool is_of_other_grant =
      held != server_row.grants.end() && held->serial != given_up.serial;
  if (is_of_other_grant) return std::nullopt;
  return without_grant(model_row, server_row, model);
}

std::optional<grant_change> remove_grant_of_lost_server(
    const placement& model_row, const server_record& server_row,
    const std::string& model) {
  return without_grant(model_row, server_row, model);
}

}  // namespace boragehill::decide
