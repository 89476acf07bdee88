#ifndef BORAGEHILL_SERVE_ENTRY_METRICS_HPP
#define BORAGEHILL_SERVE_ENTRY_METRICS_HPP

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

#include "fleet/store_metrics.hpp"

namespace boragehill::serve {

/// A router's metrics. Labels are result codes, fixed words and names of client
/// accounts, never models or servers, so their number does not grow with the
/// fleet.
class entry_metrics {
 public:
  entry_metrics();

  void on_accepted() { this->accepted.Increment(); }
  /// Counts a request that ended, by its result.
  void on_ended(result_code code);
  /// Counts the time from a request's last byte to its answer's first.
  void on_first_byte(milliseconds time, bool generation);
  /// Counts the time that a request waited for a server.
  void on_waited(milliseconds time);
  /// Counts a retry that was sent to a server of the service.
  void on_retry_sent(const std::string& service);
  /// Sets the number of routers that share the retry budget, 0 if not known.
  void set_budget_routers(double value) { this->budget_routers.Set(value); }
  /// Sets how many retries could be sent to a service now.
  void set_retries_left(const std::string& service, double value);
  void on_repeat() { this->repeats.Increment(); }
  void on_repeat_denied() { this->repeats_denied.Increment(); }
  /// Counts what a client account's sends cost its quota.
  void on_quota_spent(const std::string& account, double cost);
  /// Counts what was given back for sends that no server has run.
  void on_quota_refunded(const std::string& account, double cost);
  /// Counts a request that a client account's quota has rejected.
  void on_quota_rejected(const std::string& account);
  /// Sets whether the router spends its share of the quotas without a planner.
  void set_local_quotas(bool value) { this->local_quotas.Set(value ? 1 : 0); }
  void on_connection_rejected() { this->rejected.Increment(); }
  void on_slow_callers_closed(double count) {
    this->slow_callers_closed.Increment(count);
  }
  /// Sets the bytes of responses that callers haven't taken.
  void set_response_bytes(double value) { this->response_bytes.Set(value); }
  void on_bad_input() { this->bad_input.Increment(); }
  void set_waiting(double value) { this->waiting.Set(value); }
  void set_connections(double value) { this->connections.Set(value); }
  void set_catalog_version(double value) { this->catalog_version.Set(value); }
  void set_servers(double value) { this->servers.Set(value); }
  void set_planner_term(double value) { this->planner_term.Set(value); }
  void set_lines_dropped(double value) { this->lines_dropped.Set(value); }
  /// Sets how late the traffic thread is, and the share of the link in use.
  void set_load(milliseconds delay, double link_share) {
    this->loop_delay.Set(seconds_of(delay));
    this->link_share.Set(link_share);
  }
  void set_store(const fleet::store_statistics& read) { this->store.set(read); }

  /// \return All metrics in the Prometheus text format.
  std::string text() const;

 private:
  prometheus::Registry registry;
  prometheus::Counter& accepted;
  prometheus::Counter& repeats;
  prometheus::Counter& repeats_denied;
  prometheus::Counter& bad_input;
  prometheus::Counter& rejected;
  prometheus::Counter& slow_callers_closed;
  prometheus::Gauge& response_bytes;
  prometheus::Family<prometheus::Counter>& retries_sent;
  prometheus::Family<prometheus::Counter>& quota_spent;
  prometheus::Family<prometheus::Counter>& quota_refunded;
  prometheus::Family<prometheus::Counter>& quota_rejected;
  prometheus::Gauge& local_quotas;
  prometheus::Gauge& budget_routers;
  prometheus::Family<prometheus::Gauge>& retries_left;
  prometheus::Family<prometheus::Counter>& ended;
  prometheus::Family<prometheus::Histogram>& first_byte;
  prometheus::Histogram& waited;
  prometheus::Gauge& waiting;
  prometheus::Gauge& connections;
  prometheus::Gauge& catalog_version;
  prometheus::Gauge& servers;
  prometheus::Gauge& planner_term;
  prometheus::Gauge& lines_dropped;
  prometheus::Gauge& loop_delay;
  prometheus::Gauge& link_share;
  fleet::store_metrics store;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_ENTRY_METRICS_HPP
