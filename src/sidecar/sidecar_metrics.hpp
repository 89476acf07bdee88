#ifndef BORAGEHILL_SIDECAR_SIDECAR_METRICS_HPP
#define BORAGEHILL_SIDECAR_SIDECAR_METRICS_HPP

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>

#include "fleet/order_answer.hpp"
#include "fleet/store_metrics.hpp"

namespace boragehill::sidecar {

/// An agent's metrics.
class sidecar_metrics {
 public:
  sidecar_metrics();

  void on_order(const std::string& what, fleet::order_answer answer);
  void set_residents(double models, double adapters);
  void set_term(double value) { this->term.Set(value); }
  void set_reachable(bool value) { this->reachable.Set(value ? 1 : 0); }
  void set_store(const fleet::store_statistics& read) { this->store.set(read); }

  /// \return All metrics in the Prometheus text format.
  std::string text() const;

 private:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& orders;
  prometheus::Gauge& models;
  prometheus::Gauge& adapters;
  prometheus::Gauge& term;
  prometheus::Gauge& reachable;
  fleet::store_metrics store;
};

/// \return The word for an answer in logs and metrics.
std::string name_of(fleet::order_answer answer);

}  // namespace boragehill::sidecar

#endif  // BORAGEHILL_SIDECAR_SIDECAR_METRICS_HPP
