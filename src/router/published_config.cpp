#include "router/published_config.hpp"

#include <utility>

namespace boragehill::router {

published_config::published_config(decide::revision_view_settings settings,
                                   time_point now)
    : view(settings, now),
      in_force(std::make_shared<const decide::catalog>()) {}

std::shared_ptr<const decide::catalog> published_config::current() const {
  const std::lock_guard lock(this->mutex);
  return this->in_force;
}

bool published_config::apply(decide::catalog newer) {
  const std::lock_guard lock(this->mutex);
  if (!this->view.apply(newer.revision())) return false;
  this->in_force = std::make_shared<const decide::catalog>(std::move(newer));
  return true;
}

bool published_config::on_table_read(std::uint64_t revision, time_point began) {
  const std::lock_guard lock(this->mutex);
  return this->view.on_table_read(revision, began);
}

bool published_config::on_peer_answer(const std::string& peer,
                                      const decide::peer_revision& answer,
                                      time_point began) {
  const std::lock_guard lock(this->mutex);
  return this->view.on_peer_response(peer, answer, began);
}

void published_config::on_peer_silent(const std::string& peer,
                                      time_point began) {
  const std::lock_guard lock(this->mutex);
  this->view.on_peer_unresponsive(peer, began);
}

void published_config::on_tick(time_point now) {
  const std::lock_guard lock(this->mutex);
  this->view.on_tick(now);
}

decide::revision_readiness published_config::readiness(
    const std::vector<std::string>& peers, time_point now) const {
  const std::lock_guard lock(this->mutex);
  return this->view.readiness(peers, now);
}

std::optional<milliseconds> published_config::confirmed_age(
    time_point now) const {
  const std::lock_guard lock(this->mutex);
  return this->view.confirmed_age(now);
}

}  // namespace boragehill::router
