#include "sidecar/sidecar_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace boragehill::sidecar {

namespace {

prometheus::Gauge& gauge(prometheus::Registry& registry,
                         const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

}  // namespace

sidecar_metrics::sidecar_metrics()
    : orders(prometheus::BuildCounter()
                 .Name("boragehill_orders_total")
                 .Help("Orders to the worker by kind and answer.")
                 .Register(this->registry)),
      models(gauge(this->registry, "boragehill_resident_models",
                   "Models that the worker holds.")),
      adapters(gauge(this->registry, "boragehill_resident_adapters",
                     "Adapters that the worker holds.")),
      term(gauge(this->registry, "boragehill_planner_term",
                 "Highest planner's term seen.")),
      reachable(gauge(this->registry, "boragehill_worker_reachable",
                      "1 if the worker answers.")),
      store(this->registry) {}

void sidecar_metrics::on_order(const std::string& what,
                               fleet::order_answer answer) {
  this->orders.Add({{"kind", what}, {"answer", name_of(answer)}}).Increment();
}

void sidecar_metrics::set_residents(double model_count, double adapter_count) {
  this->models.Set(model_count);
  this->adapters.Set(adapter_count);
}

std::string sidecar_metrics::text() const {
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

std::string name_of(fleet::order_answer answer) {
  switch (answer) {
    case fleet::order_answer::accepted:
      return "accepted";
    case fleet::order_answer::conflict:
      return "conflict";
    case fleet::order_answer::refused:
      return "refused";
    case fleet::order_answer::unknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace boragehill::sidecar
