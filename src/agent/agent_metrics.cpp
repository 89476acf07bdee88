#include "agent/agent_metrics.hpp"

#include <chrono>
#include <optional>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "agent/brain_view.hpp"

namespace boragehill::agent {

namespace {

using counter_family = prometheus::Family<prometheus::Counter>;

prometheus::Gauge& add_gauge(prometheus::Registry& registry,
                             const std::string& name, const std::string& help) {
  return prometheus::BuildGauge()
      .Name("boragehill_agent_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

counter_family& add_counters(prometheus::Registry& registry,
                             const std::string& name, const std::string& help) {
  return prometheus::BuildCounter()
      .Name("boragehill_agent_" + name + "_total")
      .Help(help)
      .Register(registry);
}

std::string name_of_tier(checkpoint_tier tier) {
  switch (tier) {
    case checkpoint_tier::memory:
      return "memory";
    case checkpoint_tier::disk:
      return "disk";
    case checkpoint_tier::remote:
      break;
  }
  return "remote";
}

}  // namespace

class agent_metrics::impl {
 public:
  prometheus::Registry registry;
  prometheus::Gauge& reserved = add_gauge(this->registry, "reserved_bytes",
                                          "Accelerator memory reserved.");
  prometheus::Gauge& capacity = add_gauge(this->registry, "capacity_bytes",
                                          "Accelerator memory of the engine.");
  prometheus::Gauge& running =
      add_gauge(this->registry, "running", "Attempts running now.");
  prometheus::Gauge& up =
      add_gauge(this->registry, "backend_up", "1 while the backend answers.");
  prometheus::Gauge& fence =
      add_gauge(this->registry, "fence", "The fencing number, 0 if none yet.");
  counter_family& refusals =
      add_counters(this->registry, "refusals", "Refused attempts by code.");
  counter_family& loads =
      add_counters(this->registry, "loads", "Loads done by checkpoint tier.");
  counter_family& unloads =
      add_counters(this->registry, "unloads", "Unloads done.");
  prometheus::Counter& unknown = add_counters(this->registry, "orders_unknown",
                                              "Orders whose answer was lost.")
                                     .Add({});
  prometheus::Counter& idle =
      add_counters(this->registry, "idle_accelerator_seconds",
                   "Time that replicas were loaded with nothing running.")
          .Add({});
  std::optional<time_point> shown;
};

agent_metrics::agent_metrics() : inner(std::make_unique<impl>()) {}

agent_metrics::~agent_metrics() = default;

void agent_metrics::show(const brain_view& view, time_point now) {
  impl& own = *this->inner;
  own.reserved.Set(static_cast<double>(view.reserved_bytes));
  own.capacity.Set(static_cast<double>(view.capacity_bytes));
  own.running.Set(view.running);
  own.up.Set(view.backend_up ? 1 : 0);
  own.fence.Set(static_cast<double>(view.fence));
  if (own.shown) {
    const std::chrono::duration<double> past = now - *own.shown;
    own.idle.Increment(past.count() * view.idle_replicas);
  }
  own.shown = now;
}

void agent_metrics::count_refusal(result_code code) {
  this->inner->refusals.Add({{"code", std::string(name_of(code))}}).Increment();
}

void agent_metrics::count_order(order_kind kind, checkpoint_tier tier) {
  if (kind == order_kind::unload) {
    this->inner->unloads.Add({}).Increment();
  } else {
    this->inner->loads.Add({{"tier", name_of_tier(tier)}}).Increment();
  }
}

void agent_metrics::count_unknown_order() {
  this->inner->unknown.Increment();
}

std::string agent_metrics::text() const {
  return prometheus::TextSerializer().Serialize(
      this->inner->registry.Collect());
}

}  // namespace boragehill::agent
