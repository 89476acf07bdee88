#include "router/catalog_duty.hpp"

#include <utility>

#include "decide/catalog.hpp"
#include "kernel/event_log.hpp"
#include "router/conviction_book.hpp"
#include "router/fleet.hpp"
#include "router/home_duty.hpp"
#include "router/placement_duty.hpp"
#include "router/published_config.hpp"
#include "router/publisher.hpp"
#include "wire/catalog_answer.hpp"
#include "wire/row_fields.hpp"
#include "wire/rpc_client.hpp"

namespace boragehill::router {

namespace {

constexpr std::size_t ring_capacity = 64;
constexpr milliseconds conviction_interval{30000};

}  // namespace

catalog_duty::catalog_duty(publisher& rows, table_service& platform_table,
                           fleet& all, published_config& current,
                           conviction_book& book, home_duty& own_home,
                           placement_duty& grants, wire::rpc_client& client,
                           milliseconds interval, milliseconds timeout)
    : published(rows),
      table(platform_table),
      members(all),
      config(current),
      convictions(book),
      home(own_home),
      placement(grants),
      rpc(client),
      call_timeout(timeout),
      worker(
          "catalog", ring_capacity, interval,
          [this](message& order) {
            std::visit([this](const auto& each) { this->handle(each); }, order);
          },
          [this] { this->poll(); }) {
  this->worker.post(read_table{});
}

void catalog_duty::handle(const read_table& order) {
  (void)order;
  this->poll();
}

void catalog_duty::handle(const ask_peer& order) {
  const auto answer =
      this->rpc.call(order.peer.control, "peer.catalog",
                     Json::Value(Json::objectValue), this->call_timeout * 4);
  if (!answer) return;
  const auto read = wire::from_json<wire::catalog_answer>(answer.value());
  if (!read) return;
  std::vector<profile> profiles;
  for (const auto& text : read.value().profiles) {
    auto one = wire::from_text<profile>(text);
    if (!one) return;
    profiles.push_back(std::move(one.value()));
  }
  this->apply(read.value().revision, std::move(profiles), order.peer.id);
}

void catalog_duty::poll() {
  this->poll_table();
  if (this->outage && this->config.current()->revision() == 0) {
    this->ask_any_peer();
  }
  this->keep_convictions();
}

void catalog_duty::keep_convictions() {
  const time_point now = time_point::clock::now();
  this->convictions.expire(now);
  this->convictions.write_down(this->table);
  // Heartbeats spread them within seconds; the table is for routers that start
  // later, so it is read seldom.
  if (now < this->next_convictions) return;
  this->next_convictions = now + conviction_interval;
  for (const auto& each : this->convictions.read_all(this->table, now)) {
    this->home.post(conviction_message{each});
  }
}

void catalog_duty::poll_table() {
  const time_point began = time_point::clock::now();
  const auto row = this->published.read_catalog();
  this->note_outage(!row.has_value());
  if (!row) return;
  const std::uint64_t revision = row.value().revision;
  if (!this->config.on_table_read(revision, began)) return;
  auto newer = this->published.read_published();
  if (!newer) return;
  this->apply(newer.value().revision, std::move(newer.value().profiles),
              "table");
  this->config.on_table_read(revision, began);
}

void catalog_duty::ask_any_peer() {
  for (const auto& peer : this->members.peers(time_point::clock::now())) {
    this->handle(ask_peer{peer});
    if (this->config.current()->revision() > 0) return;
  }
}

void catalog_duty::note_outage(bool failed) {
  if (failed == this->outage) return;
  this->outage = failed;
  kernel::log_event(failed ? kernel::event::platform_outage_began
                           : kernel::event::platform_outage_ended,
                    {{"service", "table"}});
}

void catalog_duty::apply(std::uint64_t revision, std::vector<profile> profiles,
                         const std::string& source) {
  decide::catalog newer(revision, std::move(profiles));
  if (!this->config.apply(std::move(newer))) return;
  kernel::log_event(kernel::event::revision_applied,
                    {{"revision", revision}, {"source", source}});
  this->home.post(catalog_message{this->config.current()});
  this->placement.post(look_message{});
}

}  // namespace boragehill::router
