#ifndef BORAGEHILL_DECIDE_WAITING_ORDER_HPP
#define BORAGEHILL_DECIDE_WAITING_ORDER_HPP

#include <cstddef>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/account_shares.hpp"
#include "decide/waiting_candidate.hpp"

namespace boragehill::decide {

/// Decides which of a router's waiting requests is sent next, over all models
/// and client accounts.
///
/// Load: for seconds at a time more requests than slots; urgent and patient
/// ones share the servers, and one of several accounts sends a multiple of its
/// usual demand.
///
/// Requests that can be in time go before those that can't. Among these come
/// accounts that are starved, then the account's priority, then the route's,
/// which gains a step with each third of the objective that a request has
/// waited, so that patient requests yield and are still in time. Requests of an
/// account that bursts go behind those of others, and earlier due times before
/// later ones.
/// \return Indices of the candidates, the first to be sent first.
std::vector<std::size_t> waiting_order(
    const std::vector<waiting_candidate>& candidates,
    const account_shares& shares, time_point now);

/// \return What a waiting request counts for where models compete for places: a
///     request of the most urgent rank that is due now counts 1.
double waiting_weight(const waiting_candidate& candidate, time_point now);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WAITING_ORDER_HPP
