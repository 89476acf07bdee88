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

/// Takes the grant out of both rows; one of them may lack it after a row was
/// mended by hand.
std::optional<grant_change> without(const placement& model_row,
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
  const bool named = names_server(model_row, server_row.id);
  const bool held = holds_grant(server_row, added.model);
  if (named && held) return std::nullopt;
  grant_change change{model_row, server_row};
  if (!named) change.model_row.servers.push_back(server_row.id);
  if (!held) {
    grant numbered = added;
    numbered.serial = ++change.server_row.last_serial;
    change.server_row.grants.push_back(std::move(numbered));
  }
  return change;
}

std::optional<grant_change> remove_grant(const placement& model_row,
                                         const server_record& server_row,
                                         const std::string& model,
                                         const grant_acknowledgement& given) {
  // An acknowledgement can outlive its agent: the agent gives the grant up,
  // restarts, reads the row where the grant still stands and loads again. If
  // the home then took the grant away, one replica too many would be loaded.
  // The restart raised the fence before it read, so the old number shows it;
  // a restart after this check fails the transaction by the row's etag.
  if (server_row.fence != given.fence) return std::nullopt;
  // It can also outlive its grant: one home removed the grant and gave the same
  // server a new one, and the message reaches another home late. Taken for the
  // new grant's, it would free a replica's place while it is loaded.
  const auto held = std::ranges::find(server_row.grants, model, &grant::model);
  const bool other =
      held != server_row.grants.end() && held->serial != given.serial;
  if (other) return std::nullopt;
  return without(model_row, server_row, model);
}

std::optional<grant_change> remove_gone(const placement& model_row,
                                        const server_record& server_row,
                                        const std::string& model) {
  return without(model_row, server_row, model);
}

}  // namespace boragehill::decide
