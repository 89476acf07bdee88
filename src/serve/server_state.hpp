#ifndef BORAGEHILL_SERVE_SERVER_STATE_HPP
#define BORAGEHILL_SERVE_SERVER_STATE_HPP

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decide/server_load.hpp"
#include "decide/stall_detector.hpp"
#include "fleet/resident_model.hpp"
#include "fleet/server.hpp"

namespace boragehill::serve {

class exchange;

/// A backend server as a router sees it.
struct server_state {
  /// As the platform lists it, or listed it last.
  fleet::server entry;
  /// One that is off the list is kept while requests of this router are there.
  bool listed = false;
  /// What the planner said it holds; nothing before it did.
  std::optional<std::vector<fleet::resident_model>> told;
  /// Another lifetime answered at its address. The platform lists a server
  /// that crashed for seconds longer, with all it held; each request sent
  /// there would be refused and count as a repeat.
  bool replaced = false;
  /// Requests of this router there.
  std::map<const exchange*, std::shared_ptr<exchange>> requests;
  /// What comes of them.
  decide::stall_detector silence;
  /// Requests of other routers there, as the planner said.
  int other_requests = 0;
  /// What it told of its load in its answers.
  decide::server_load load;
  /// Work of this router's requests there, in usual milliseconds.
  double own_work = 0;

  /// \return True if it may get new requests, by the list.
  bool takes_new() const {
    return this->listed && !this->entry.draining && !this->replaced;
  }

  /// \param follow_planner False while no planner is linked: then what the
  ///     platform lists is newer.
  /// \return True if it serves the model, with the adapter if one is named.
  bool serves(const std::string& model, const std::string& adapter,
              bool follow_planner) const;

  /// Forgets that it holds a model, or only an adapter of it.
  void forget(const std::string& model, const std::string& adapter);
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_SERVER_STATE_HPP
