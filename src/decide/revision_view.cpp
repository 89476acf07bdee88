#include "decide/revision_view.hpp"

#include <algorithm>

namespace boragehill::decide {

revision_view::revision_view(revision_view_settings settings, time_point now)
    : settings(settings), last_tick(now), valid_from(now) {}

bool revision_view::apply(std::uint64_t revision) {
  // Catalogs arrive out of order from the table and from peers. A slow read
  // that ends after a newer catalog was applied must not bring back a profile
  // that an operator replaced.
  if (this->has_catalog && revision <= this->revision_in_force) return false;
  this->revision_in_force = revision;
  this->has_catalog = true;
  return true;
}

bool revision_view::on_table_read(std::uint64_t revision, time_point sent_at) {
  if (!this->has_catalog || revision > this->revision_in_force) return true;
  this->confirm(sent_at);
  return false;
}

bool revision_view::on_peer_response(const std::string& peer,
                                     const peer_revision& response,
                                     time_point sent_at) {
  this->record_peer_state(peer, {sent_at, response});
  if (!this->has_catalog || response.revision > this->revision_in_force) {
    return true;
  }
  if (!response.confirmed_age) return false;
  // The peer responded after `sent_at`, so its confirmation is no older than
  // `sent_at - age`. A negative age would date it after this router's
  // heartbeat.
  const milliseconds age = std::max(*response.confirmed_age, milliseconds{0});
  this->confirm(sent_at - age);
  return false;
}

void revision_view::on_peer_unresponsive(const std::string& peer,
                                         time_point sent_at) {
  this->record_peer_state(peer, {sent_at, std::nullopt});
}

void revision_view::on_tick(time_point now) {
  if (this->is_paused(now)) this->valid_from = now;
  this->last_tick = std::max(this->last_tick, now);
}

revision_readiness revision_view::readiness(
    const std::vector<std::string>& peers, time_point now) const {
  if (!this->has_catalog) return revision_readiness::no_catalog;
  // A request may arrive before the first tick after a pause.
  if (this->is_paused(now)) return revision_readiness::paused;
  const time_point oldest = now - this->settings.max_confirmation_age;
  const time_point needed = std::max(oldest, this->valid_from);
  if (this->confirmed_at && *this->confirmed_at >= needed) {
    return revision_readiness::ready;
  }
  if (this->is_table_presumed_down(peers, now)) {
    return revision_readiness::ready;
  }
  const bool predates_pause =
      this->confirmed_at && *this->confirmed_at >= oldest;
  return predates_pause ? revision_readiness::paused
                        : revision_readiness::unconfirmed;
}

std::uint64_t revision_view::revision() const {
  return this->revision_in_force;
}

std::optional<milliseconds> revision_view::confirmed_age(time_point now) const {
  if (!this->confirmed_at) return std::nullopt;
  // Rounded up, so that a confirmation never appears younger than it is.
  return std::chrono::ceil<milliseconds>(now - *this->confirmed_at);
}

bool revision_view::is_paused(time_point now) const {
  return now - this->last_tick > this->settings.pause_threshold;
}

void revision_view::confirm(time_point at) {
  if (!this->confirmed_at || at > *this->confirmed_at) this->confirmed_at = at;
}

void revision_view::record_peer_state(const std::string& peer,
                                      const peer_state& latest) {
  peer_state& known = this->peer_states[peer];
  if (known.heartbeat_sent_at <= latest.heartbeat_sent_at) known = latest;
}

bool revision_view::is_table_presumed_down(
    const std::vector<std::string>& peers, time_point now) const {
  std::size_t contacted = 0;
  std::size_t contacted_recently = 0;
  std::size_t also_unconfirmed = 0;
  for (const std::string& peer : peers) {
    const peer_state* known = this->recent_state(peer, now);
    if (known == nullptr) continue;
    contacted += 1;
    const auto elapsed = now - known->heartbeat_sent_at;
    if (elapsed <= this->settings.peer_contact_window) contacted_recently += 1;
    if (!known->response) continue;
    if (!this->is_also_unconfirmed(*known, now)) return false;
    also_unconfirmed += 1;
  }
  const auto required =
      std::min(peers.size(), this->settings.min_peers_contacted);
  if (contacted_recently < required) return false;
  const double needed =
      this->settings.min_response_share * static_cast<double>(contacted);
  return static_cast<double>(also_unconfirmed) >= needed;
}

const revision_view::peer_state* revision_view::recent_state(
    const std::string& peer, time_point now) const {
  const auto found = this->peer_states.find(peer);
  if (found == this->peer_states.end()) return nullptr;
  const time_point sent_at = found->second.heartbeat_sent_at;
  if (sent_at < this->valid_from) return nullptr;
  if (now - sent_at > this->settings.peer_response_window) return nullptr;
  return &found->second;
}

/// Returns whether a peer that responded has neither a newer revision nor a
/// recent confirmation of its own.
bool revision_view::is_also_unconfirmed(const peer_state& known,
                                        time_point now) const {
  const peer_revision& response = *known.response;
  if (response.revision > this->revision_in_force) return false;
  if (!response.confirmed_age) return true;
  // The age has grown since the response. Without adding that time, all routers
  // would become unready for one heartbeat interval when their last
  // confirmations before an outage of the table expire together.
  const auto age = *response.confirmed_age + (now - known.heartbeat_sent_at);
  return age > this->settings.max_confirmation_age;
}

}  // namespace boragehill::decide
