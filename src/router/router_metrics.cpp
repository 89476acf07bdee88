#include "router/router_metrics.hpp"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace boragehill::router {

namespace {

using prometheus::Histogram;

Histogram::BucketBoundaries first_byte_buckets() {
  return {0.01, 0.025, 0.05, 0.1, 0.2, 0.42, 1, 2, 5, 10, 30, 60};
}

Histogram::BucketBoundaries cold_start_buckets() {
  return {0.5, 1, 2, 5, 10, 20, 30, 60, 120, 300};
}

}  // namespace

router_metrics::router_metrics()
    : accepted(prometheus::BuildCounter()
                   .Name("boragehill_router_requests_accepted_total")
                   .Help("Requests that passed the checks at the entry.")
                   .Register(registry)
                   .Add({})),
      answered(prometheus::BuildCounter()
                   .Name("boragehill_router_requests_answered_total")
                   .Help("Requests whose whole answer went to the caller.")
                   .Register(registry)
                   .Add({})),
      retries(prometheus::BuildCounter()
                  .Name("boragehill_router_retries_total")
                  .Help("Attempts after the first of a request.")
                  .Register(registry)
                  .Add({})),
      refused(prometheus::BuildCounter()
                  .Name("boragehill_router_requests_refused_total")
                  .Help("Refusals by result code.")
                  .Register(registry)),
      first_byte(prometheus::BuildHistogram()
                     .Name("boragehill_router_first_byte_seconds")
                     .Help("Time to the first byte of an answer.")
                     .Register(registry)
                     .Add({}, first_byte_buckets())),
      cold_start(prometheus::BuildHistogram()
                     .Name("boragehill_router_cold_start_seconds")
                     .Help("Time to the first byte of requests that waited "
                           "for a model to load.")
                     .Register(registry)
                     .Add({}, cold_start_buckets())),
      in_flight(prometheus::BuildGauge()
                    .Name("boragehill_router_requests_in_flight")
                    .Help("Requests accepted here and not yet ended.")
                    .Register(registry)
                    .Add({})),
      waiting(prometheus::BuildGauge()
                  .Name("boragehill_router_home_waiting")
                  .Help("Requests queued at this router as home.")
                  .Register(registry)
                  .Add({})),
      permits_out(prometheus::BuildGauge()
                      .Name("boragehill_router_home_permits")
                      .Help("Permits given by this router as home, not ended.")
                      .Register(registry)
                      .Add({})),
      revision(prometheus::BuildGauge()
                   .Name("boragehill_router_revision_in_force")
                   .Help("The published revision in force.")
                   .Register(registry)
                   .Add({})),
      ready(prometheus::BuildGauge()
                .Name("boragehill_router_ready")
                .Help("1 while /readyz answers 200.")
                .Register(registry)
                .Add({})),
      ring_depth(prometheus::BuildGauge()
                     .Name("boragehill_router_ring_depth")
                     .Help("Messages waiting in a duty's ring.")
                     .Register(registry)),
      control_bytes(prometheus::BuildGauge()
                        .Name("boragehill_router_control_bytes")
                        .Help("Bytes of the control protocol since the start.")
                        .Register(registry)),
      grants_changed(prometheus::BuildGauge()
                         .Name("boragehill_router_grants_changed")
                         .Help("Grants added and removed since the start.")
                         .Register(registry)) {}

void router_metrics::on_answered(milliseconds time, bool waited_for_load) {
  this->answered.Increment();
  this->first_byte.Observe(seconds_of(time));
  if (waited_for_load) this->cold_start.Observe(seconds_of(time));
}

void router_metrics::on_refused(result_code code) {
  this->refused.Add({{"code", std::string(name_of(code))}}).Increment();
}

void router_metrics::set_ring_depth(const std::string& ring, double value) {
  this->ring_depth.Add({{"ring", ring}}).Set(value);
}

void router_metrics::set_control_bytes(double in, double out) {
  this->control_bytes.Add({{"direction", "in"}}).Set(in);
  this->control_bytes.Add({{"direction", "out"}}).Set(out);
}

void router_metrics::set_grants_changed(double added, double removed) {
  this->grants_changed.Add({{"change", "added"}}).Set(added);
  this->grants_changed.Add({{"change", "removed"}}).Set(removed);
}

std::string router_metrics::text() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, this->registry.Collect());
  return out.str();
}

}  // namespace boragehill::router
