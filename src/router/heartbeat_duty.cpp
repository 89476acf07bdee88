#include "router/heartbeat_duty.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "decide/catalog.hpp"
#include "kernel/event_log.hpp"
#include "kernel/random.hpp"
#include "router/catalog_duty.hpp"
#include "router/conviction_book.hpp"
#include "router/fleet.hpp"
#include "router/home_duty.hpp"
#include "router/published_config.hpp"
#include "wire/field_codec.hpp"
#include "wire/rpc_client.hpp"

namespace boragehill::router {

namespace {

/// Convictions in one heartbeat: enough to reach everybody in a few rounds,
/// few enough to keep it small.
constexpr std::size_t convictions_told = 8;

vm_info router_vm(const wire::peer_heartbeat& from) {
  return {.id = from.router,
          .role = vm_role::router,
          .state = from.draining ? vm_state::leaving : vm_state::live,
          .control = from.control,
          .data = {},
          .failure_domain = {},
          .region = from.region,
          .pool = {}};
}

}  // namespace

heartbeat_duty::heartbeat_duty(std::string own_incarnation, fleet& all,
                               published_config& published,
                               conviction_book& book, catalog_duty& fetcher,
                               home_duty& own_home, wire::rpc_client& client,
                               kernel::task_pool& pool, std::size_t count,
                               milliseconds interval, milliseconds timeout)
    : incarnation(std::move(own_incarnation)),
      members(all),
      config(published),
      convictions(book),
      catalogs(fetcher),
      home(own_home),
      rpc(client),
      calls(pool),
      peer_count(count),
      call_timeout(timeout),
      worker(
          "heartbeat", 1, interval, [](std::monostate&) {},
          [this] { this->send_round(); }) {}

wire::peer_heartbeat heartbeat_duty::own() const {
  const time_point now = time_point::clock::now();
  const auto age = this->config.confirmed_age(now);
  return {.router = this->members.self().id,
          .incarnation = this->incarnation,
          .control = this->members.self().control,
          .region = this->members.self().region,
          .revision = this->config.current()->revision(),
          .confirmed_ms = age ? age->count() : -1,
          .draining = this->draining,
          .convictions = this->convictions.latest(convictions_told, now)};
}

void heartbeat_duty::receive(const wire::peer_heartbeat& from) {
  this->members.on_heartbeat(router_vm(from), time_point::clock::now());
  this->learn(from);
  if (from.revision > this->config.current()->revision()) {
    this->catalogs.fetch_from(router_vm(from));
  }
}

void heartbeat_duty::send_round() {
  const time_point now = time_point::clock::now();
  auto peers = this->members.peers(now);
  // A suspected peer is left out of homes, yet it must be asked again: only an
  // answer ends the suspicion early.
  for (const auto& vm : this->members.listed()) {
    const bool other =
        vm.role == vm_role::router && vm.id != this->members.self().id;
    if (other && this->members.is_suspected(vm.id, now)) peers.push_back(vm);
  }
  for (std::size_t i = 0; i < std::min(this->peer_count, peers.size()); ++i) {
    const std::size_t left = peers.size() - i;
    std::swap(peers[i], peers[i + kernel::random_bits() % left]);
    this->calls.try_post([this, peer = peers[i]] { this->send_to(peer); });
  }
}

void heartbeat_duty::send_to(const vm_info& peer) {
  const time_point began = time_point::clock::now();
  const auto answer =
      this->rpc.call(peer.control, "peer.heartbeat", wire::to_json(this->own()),
                     this->call_timeout);
  if (!answer) {
    if (!this->members.is_suspected(peer.id, began)) {
      kernel::log_event(kernel::event::peer_suspected,
                        {{"peer", peer.id}, {"error", answer.error()}});
    }
    this->members.on_call_failed(peer.id, time_point::clock::now());
    this->config.on_peer_silent(peer.id, began);
    return;
  }
  const auto read = wire::from_json<wire::peer_heartbeat>(answer.value());
  if (!read) return;
  const wire::peer_heartbeat& from = read.value();
  if (this->members.is_suspected(peer.id, began)) {
    kernel::log_event(kernel::event::peer_trusted, {{"peer", peer.id}});
  }
  this->members.on_call_answered(peer.id);
  this->members.on_heartbeat(router_vm(from), time_point::clock::now());
  this->learn(from);
  std::optional<milliseconds> age;
  if (from.confirmed_ms >= 0) age = milliseconds(from.confirmed_ms);
  const bool newer = this->config.on_peer_answer(
      from.router, {.revision = from.revision, .confirmed_age = age}, began);
  if (newer) this->catalogs.fetch_from(peer);
}

void heartbeat_duty::learn(const wire::peer_heartbeat& from) {
  if (from.draining) this->members.on_leaving(from.router);
  const time_point now = time_point::clock::now();
  for (const auto& fingerprint : from.convictions) {
    if (!this->convictions.add(fingerprint, now)) continue;
    this->home.post(conviction_message{fingerprint});
  }
}

}  // namespace boragehill::router
