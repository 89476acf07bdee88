#ifndef BORAGEHILL_ROUTER_ROUTER_METRICS_HPP
#define BORAGEHILL_ROUTER_ROUTER_METRICS_HPP

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::router {

/// A router's metrics. Labels are result codes and fixed words only, never
/// models or callers, so their number does not grow with the fleet.
class router_metrics {
 public:
  router_metrics();

  /// Counts a request that was accepted for serving.
  void on_accepted() { this->accepted.Increment(); }
  /// Counts a whole answer and the time to its first byte.
  void on_answered(milliseconds first_byte, bool waited_for_load);
  /// Counts a refusal.
  void on_refused(result_code code);
  /// Counts an attempt after the first of its request.
  void on_retry() { this->retries.Increment(); }
  void set_in_flight(double value) { this->in_flight.Set(value); }
  void set_waiting(double value) { this->waiting.Set(value); }
  void set_permits_out(double value) { this->permits_out.Set(value); }
  void set_revision(double value) { this->revision.Set(value); }
  void set_ready(bool value) { this->ready.Set(value ? 1 : 0); }
  void set_ring_depth(const std::string& ring, double value);
  void set_control_bytes(double in, double out);
  void set_grants_changed(double added, double removed);

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

 private:
  prometheus::Registry registry;
  prometheus::Counter& accepted;
  prometheus::Counter& answered;
  prometheus::Counter& retries;
  prometheus::Family<prometheus::Counter>& refused;
  prometheus::Histogram& first_byte;
  prometheus::Histogram& cold_start;
  prometheus::Gauge& in_flight;
  prometheus::Gauge& waiting;
  prometheus::Gauge& permits_out;
  prometheus::Gauge& revision;
  prometheus::Gauge& ready;
  prometheus::Family<prometheus::Gauge>& ring_depth;
  prometheus::Family<prometheus::Gauge>& control_bytes;
  prometheus::Family<prometheus::Gauge>& grants_changed;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_ROUTER_METRICS_HPP
