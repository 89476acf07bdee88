// The half of the routers' shell that writes and reads the table's rows:
// placements and published profiles.

#include <boragehill/server_record.hpp>

#include "decide/grant_change.hpp"
#include "decide/placement_choice.hpp"
#include "decide/target_name.hpp"
#include "sim_agent.hpp"
#include "sim_router.hpp"

namespace boragehill::fault {

namespace {

constexpr int most_tries = 5;

std::vector<std::string> all_rows(const std::string& model) {
  return {"placement/" + model, "server/s1", "server/s2", "server/s3"};
}

}  // namespace

void sim_router::poll_catalog() {
  const time_point began = this->around->time.now;
  this->around->table.read(this->own, {"catalog"}, [this, began](auto found) {
    if (!found) return;
    const auto row = found->front().template as<config_row>();
    if (!this->view->on_table_read(row.revision, began)) return;
    this->apply(row.revision, row.profiles);
    this->view->on_table_read(row.revision, began);
  });
}

void sim_router::apply(std::uint64_t revision,
                       const std::vector<profile>& profiles) {
  const bool any = this->around->broken_by(breakage::apply_any_revision);
  const bool deaf = this->around->broken_by(breakage::ignore_catalog);
  if (deaf && this->view->revision() > 0) return;
  if (!this->view->apply(revision) && !any) return;
  this->catalog = decide::catalog(revision, profiles);
  this->around->seen.revisions[this->incarnation].push_back(revision);
  this->home->on_catalog(this->catalog, this->around->time.now);
  this->send_actions();
  this->poll_placements();
  this->around->at(step::catalog_spread, this->own);
}

void sim_router::publish(const std::string& id, std::uint64_t base,
                         std::vector<profile> profiles, int tries) {
  this->around->table.read(
      this->own, {"catalog"}, [this, id, base, profiles, tries](auto found) {
        if (!found) return;
        const auto& cell = found->front();
        auto row = cell.template as<config_row>();
        this->around->at(step::publish_read, this->own);
        const bool guarded =
            !this->around->broken_by(breakage::publish_unguarded);
        if (guarded && row.revision != base) return;
        row = {base + 1, id, profiles};
        // Unguarded, the second operator overwrites the first one's publish.
        const auto now = [&](const std::string& key) {
          return guarded ? 0 : this->around->table.peek(key).etag;
        };
        const std::string history = "history/" + std::to_string(base + 1);
        this->around->table.write(
            this->own,
            {{"catalog", guarded ? cell.etag : now("catalog"), row},
             {history, now(history), row}},
            [this, id, row, base, profiles, tries](result_code code) {
              if (code == result_code::ok) {
                this->around->seen.accepted.emplace_back(row.revision, id);
              }
              if (code == result_code::platform_answer_lost) {
                this->read_back(id, row.revision, 0);
              }
              const bool again =
                  code == result_code::platform_conflict && tries < most_tries;
              if (again) this->publish(id, base, profiles, tries + 1);
            });
        this->around->at(step::publish_written, this->own);
      });
}

void sim_router::read_back(const std::string& id, std::uint64_t revision,
                           int tries) {
  this->around->table.read(
      this->own, {"history/" + std::to_string(revision)},
      [this, id, revision, tries](auto found) {
        if (!found && tries < most_tries) {
          return this->read_back(id, revision, tries + 1);
        }
        if (!found) return;
        const auto row = found->front().template as<config_row>();
        if (row.publish_id != id) return;
        this->around->seen.accepted.emplace_back(revision, id);
      });
}

void sim_router::poll_placements() {
  for (const auto& [model, spec] : this->catalog.models()) {
    const auto homes = this->homes(decide::model_target(model));
    if (homes.empty() || homes.front() != this) continue;
    const std::size_t most = spec.max_replicas;
    this->around->table.read(
        this->own, {"placement/" + model},
        [this, model = model, most](auto found) {
          if (!found) return;
          auto row = found->front().template as<placement>();
          row.model = model;
          this->show(row);
          std::size_t standing = 0;
          const time_point now = this->around->time.now;
          for (const auto& server : row.servers) {
            const bool alive = this->around->agent(server).own.alive;
            if (!alive && this->members->is_removed(server, now)) {
              this->remove_grant(server, model, std::nullopt);
            }
            const bool counts = !this->members->is_suspected(server, now) &&
                                !this->members->is_draining(server);
            if (!counts || ++standing <= most) continue;
            this->tell_agent(
                server, [model](sim_agent& agent) { agent.on_retire(model); });
            if (this->around->broken_by(breakage::take_grant_unasked)) {
              this->remove_grant(server, model, std::nullopt);
            }
          }
        });
  }
}

void sim_router::add_grant(const decide::request_grants& wanted, int tries) {
  const auto* spec = this->catalog.spec_of(wanted.model);
  if (spec == nullptr || tries >= most_tries) return;
  const grant added{wanted.model, spec->bytes};
  decide::placement_request request{
      .model = wanted.model,
      .bytes = spec->bytes,
      .wanted_grants = std::max(spec->replicas, wanted.count),
      .max_grants = wanted.count};
  this->around->table.read(
      this->own, all_rows(wanted.model),
      [this, wanted, added, request, tries](auto found) mutable {
        if (!found) return;
        auto model_row = found->front().template as<placement>();
        model_row.model = wanted.model;
        request.granted_servers = model_row.servers;
        const time_point now = this->around->time.now;
        for (std::size_t i = 1; i < found->size(); ++i) {
          const auto row = (*found)[i].template as<server_record>();
          std::uint64_t granted = 0;
          for (const auto& each : row.grants) granted += each.bytes;
          const auto& silent = wanted.uncounted_servers;
          request.servers.push_back(
              {.id = row.id,
               .failure_domain = row.failure_domain,
               .capacity_bytes = row.capacity_bytes,
               .free_bytes = row.capacity_bytes,
               .granted_bytes = granted,
               .draining = this->members->is_draining(row.id) ||
                           this->members->is_removed(row.id, now),
               .suspected = std::find(silent.begin(), silent.end(), row.id) !=
                            silent.end()});
        }
        const auto chosen = decide::choose_grant_servers(request);
        if (chosen.empty()) return this->show(model_row);
        const auto at = static_cast<std::size_t>(chosen.front().back() - '0');
        const auto server_row = (*found)[at].template as<server_record>();
        const auto change = decide::add_grant(model_row, server_row, added);
        if (!change) return;
        this->around->table.write(
            this->own,
            {{"placement/" + wanted.model, found->front().etag,
              change->model_row},
             {"server/" + chosen.front(), (*found)[at].etag,
              change->server_row}},
            [this, wanted, change, server = chosen.front(),
             tries](result_code code) {
              if (code == result_code::ok) {
                this->show(change->model_row);
                this->tell_agent(
                    server, [](sim_agent& agent) { agent.on_grants_hint(); });
              }
              this->add_grant(wanted, tries + 1);
            });
      });
}

void sim_router::remove_grant(
    const std::string& server, const std::string& model,
    std::optional<decide::grant_acknowledgement> given) {
  const std::vector<std::string> keys{"placement/" + model, "server/" + server};
  this->around->table.read(
      this->own, keys, [this, server, model, given, keys](auto found) {
        if (!found) return;
        auto model_row = found->front().template as<placement>();
        model_row.model = model;
        const auto server_row = found->back().template as<server_record>();
        const auto change =
            given ? decide::remove_grant(model_row, server_row, model, *given)
                  : decide::remove_grant_of_lost_server(model_row, server_row,
                                                        model);
        if (!change) return;
        this->around->table.write(
            this->own,
            {{keys[0], found->front().etag, change->model_row},
             {keys[1], found->back().etag, change->server_row}},
            [this, change, server](result_code code) {
              if (code != result_code::ok) return;
              this->show(change->model_row);
              this->tell_agent(
                  server, [](sim_agent& agent) { agent.on_grants_hint(); });
            });
        this->around->at(step::grant_taken_back, this->own);
      });
}

void sim_router::show(const placement& row) {
  this->home->on_servers(decide::model_target(row.model), row.servers,
                         this->around->time.now);
  this->send_actions();
}

void sim_router::tell_agent(const std::string& server,
                            const std::function<void(sim_agent&)>& what) {
  auto& agent = this->around->agent(server);
  this->around->time.send(this->own, agent.own,
                          [&agent, what] { what(agent); });
}

}  // namespace boragehill::fault
