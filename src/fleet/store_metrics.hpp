#ifndef BORAGEHILL_FLEET_STORE_METRICS_HPP
#define BORAGEHILL_FLEET_STORE_METRICS_HPP

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "fleet/store_statistics.hpp"

namespace boragehill::fleet {

/// The metrics of what a process has read from the platform's store.
class store_metrics {
 public:
  explicit store_metrics(prometheus::Registry& registry);

  void set(const store_statistics& read);

 private:
  prometheus::Counter& bytes_read;
  prometheus::Gauge& catalog_age;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_STORE_METRICS_HPP
