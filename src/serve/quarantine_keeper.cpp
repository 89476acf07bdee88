#include "serve/quarantine_keeper.hpp"

#include <algorithm>
#include <utility>

#include "kernel/event_log.hpp"

namespace boragehill::serve {

namespace {

bool is_alike(const fleet::quarantine_row& one,
              const fleet::quarantine_row& other) {
  return one.requests == other.requests && one.parts == other.parts;
}

}  // namespace

void quarantine_keeper::on_read(const fleet::quarantine_row& row) {
  this->version = std::max(this->version, row.version);
}

void quarantine_keeper::write(const fleet::quarantine_row& row) {
  this->next = row;
  if (!this->pending) this->write_next();
}

void quarantine_keeper::write_next() {
  this->pending = std::exchange(this->next, std::nullopt);
  if (!this->pending) return;
  this->pending->version = this->version;
  this->store.write_quarantine(
      *this->pending, [this](const result<fleet::quarantine_row>& standing) {
        this->loop.post([this, standing] { this->on_written(standing); });
      });
}

void quarantine_keeper::on_written(
    const result<fleet::quarantine_row>& standing) {
  const auto wanted = std::exchange(this->pending, std::nullopt);
  if (!standing) {
    kernel::log_event(
        kernel::event::quarantine_stored,
        {{"version", this->version}, {"error", standing.error()}});
    return this->write_next();
  }
  const bool is_written = is_alike(standing.value(), *wanted);
  this->version = standing.value().version;
  kernel::log_event(kernel::event::quarantine_stored,
                    {{"version", this->version},
                     {"requests", standing.value().requests.size()},
                     {"parts", standing.value().parts.size()},
                     {"ours", is_written}});
  // Another planner's row stands there; this one is the newer if it still
  // leads.
  if (!is_written && !this->next) this->next = wanted;
  this->write_next();
}

}  // namespace boragehill::serve
