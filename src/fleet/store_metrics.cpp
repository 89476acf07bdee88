#include "fleet/store_metrics.hpp"

#include <limits>

#include <boragehill/time_point.hpp>

namespace boragehill::fleet {

store_metrics::store_metrics(prometheus::Registry& registry)
    : bytes_read(prometheus::BuildCounter()
                     .Name("boragehill_store_bytes_read_total")
                     .Help("Bytes of the store's responses, given up or not.")
                     .Register(registry)
                     .Add({})),
      catalog_age(prometheus::BuildGauge()
                      .Name("boragehill_catalog_age_seconds")
                      .Help("Since the store last showed the configuration in "
                            "force to be the newest; NaN before that.")
                      .Register(registry)
                      .Add({})) {}

void store_metrics::set(const store_statistics& read) {
  this->bytes_read.Increment(static_cast<double>(read.bytes_read) -
                             this->bytes_read.Value());
  this->catalog_age.Set(read.catalog_age
                            ? seconds_of(*read.catalog_age)
                            : std::numeric_limits<double>::quiet_NaN());
}

}  // namespace boragehill::fleet
