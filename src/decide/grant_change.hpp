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

/// The new values of the two rows that one transaction writes, guarded by the
/// etags under which both were read.
struct grant_change {
  placement model_row;
  server_record server_row;

  bool operator==(const grant_change&) const = default;
};

/// Returns the rows with a grant added.
///
/// \param model_row `placement/<model>` as read; empty `servers` if it is new.
/// \param server_row `server/<id>` as read.
/// \param added The grant; its model is the placement's.
/// \return Nothing if the grant stands in both rows already, the models differ,
///   or the grant alone exceeds the server's capacity.
std::optional<grant_change> add_grant(const placement& model_row,
                                      const server_record& server_row,
                                      const grant& added);

/// Returns the rows without a grant that the server's agent gave up.
///
/// \param given_up The acknowledgement.
/// \return Nothing if the row's fence or the grant's serial differs, or if
///   neither row holds the grant.
std::optional<grant_change> remove_grant(const placement& model_row,
                                         const server_record& server_row,
                                         const std::string& model,
                                         const grant_acknowledgement& given_up);

/// Returns the rows without a grant of a VM that the platform's list no longer
/// holds and that does not answer; no acknowledgement is asked for.
///
/// \return Nothing if neither row holds the grant.
std::optional<grant_change> remove_gone(const placement& model_row,
                                        const server_record& server_row,
                                        const std::string& model);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_GRANT_CHANGE_HPP
