#ifndef BORAGEHILL_DECIDE_GRANT_CHANGE_HPP
#define BORAGEHILL_DECIDE_GRANT_CHANGE_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <boragehill/grant.hpp>
#include <boragehill/placement.hpp>
#include <boragehill/server_record.hpp>

#include "decide/grant_acknowledgement.hpp"

namespace boragehill::decide {

/// The new values of the two rows of a grant. One transaction writes both, on
/// condition that their etags have not changed since they were read.
struct grant_change {
  placement model_row;
  server_record server_row;

  bool operator==(const grant_change&) const = default;
};

/// Returns the rows with a grant added.
///
/// \param model_row `placement/<model>` as read; `servers` is empty if the row
///   is new.
/// \param server_row `server/<id>` as read.
/// \param added The grant to add.
/// \return Nothing if both rows already contain the grant, the models differ,
///   or the grant alone exceeds the server's capacity.
std::optional<grant_change> add_grant(const placement& model_row,
                                      const server_record& server_row,
                                      const grant& added);

/// Returns the rows with a grant removed that the server's agent gave up.
///
/// \param given_up The agent's acknowledgement.
/// \return Nothing if the fencing number in the row or the grant's serial
///   differs, or neither row contains the grant.
std::optional<grant_change> remove_grant(const placement& model_row,
                                         const server_record& server_row,
                                         const std::string& model,
                                         const grant_acknowledgement& given_up);

/// Returns the rows with the grant on a lost server removed. Requires no
/// acknowledgement, as the server's VM is no longer in the platform's list and
/// does not respond.
///
/// \return Nothing if neither row contains the grant.
std::optional<grant_change> remove_grant_of_lost_server(
    const placement& model_row, const server_record& server_row,
    const std::string& model);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_GRANT_CHANGE_HPP
