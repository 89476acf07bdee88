#include "serve/entry_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace boragehill::serve {

namespace {

/// In seconds; from an answer of a plain service to a cold start.
const prometheus::Histogram::BucketBoundaries time_buckets{
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1, 2, 3, 5, 10, 25};

prometheus::Counter& counter(prometheus::Registry& registry,
                             const std::string& name, const std::string& help) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({});
}

prometheus::Gauge& gauge(prometheus::Registry& registry,
                         const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

}  // namespace

entry_metrics::entry_metrics()
    : accepted(counter(this->registry, "boragehill_requests_total",
                       "Requests read from callers.")),
      repeats(counter(this->registry, "boragehill_repeats_total",
                      "Sends beyond the first of a request.")),
      repeats_denied(counter(this->registry, "boragehill_repeats_denied_total",
                             "Sends that the retry budget forbade.")),
      bad_input(counter(this->registry, "boragehill_bad_input_total",
                        "Requests refused before they were routed.")),
      rejected(counter(this->registry, "boragehill_connections_rejected_total",
                       "Callers' connections closed unread, for load.")),
      slow_callers_closed(counter(this->registry,
                                  "boragehill_slow_callers_closed_total",
                                  "Callers' connections closed, for memory.")),
      response_bytes(gauge(this->registry, "boragehill_response_bytes",
                           "Bytes of responses that callers haven't taken.")),
      retries_sent(prometheus::BuildCounter()
                       .Name("boragehill_retries_sent_total")
                       .Help("Retries that went to a server, by service.")
                       .Register(this->registry)),
      quota_spent(prometheus::BuildCounter()
                      .Name("boragehill_quota_spent_total")
                      .Help("Cost of the requests sent, by client account.")
                      .Register(this->registry)),
      quota_refunded(
          prometheus::BuildCounter()
              .Name("boragehill_quota_refunded_total")
              .Help("Cost of sends that no server has run, by client account.")
              .Register(this->registry)),
      quota_rejected(
          prometheus::BuildCounter()
              .Name("boragehill_quota_rejections_total")
              .Help("Requests rejected by a quota, by client account.")
              .Register(this->registry)),
      local_quotas(gauge(this->registry, "boragehill_local_quotas",
                         "1 while the router spends its share of the quotas "
                         "without a planner.")),
      budget_routers(
          gauge(this->registry, "boragehill_budget_routers",
                "Routers that share the retry budget; 0 if not known.")),
      retries_left(prometheus::BuildGauge()
                       .Name("boragehill_retries_left")
                       .Help("Retries that the budget allows, by service.")
                       .Register(this->registry)),
      ended(prometheus::BuildCounter()
                .Name("boragehill_results_total")
                .Help("Requests by how they ended.")
                .Register(this->registry)),
      first_byte(prometheus::BuildHistogram()
                     .Name("boragehill_first_byte_seconds")
                     .Help("From a request's last byte to its answer's first.")
                     .Register(this->registry)),
      waited(prometheus::BuildHistogram()
                 .Name("boragehill_wait_seconds")
                 .Help("From a request's last byte to its first send.")
                 .Register(this->registry)
                 .Add({}, time_buckets)),
      waiting(gauge(this->registry, "boragehill_waiting",
                    "Requests that wait for a server.")),
      connections(gauge(this->registry, "boragehill_server_connections",
                        "Connections open to backend servers.")),
      catalog_version(gauge(this->registry, "boragehill_catalog_version",
                            "Version of the configuration in force.")),
      servers(gauge(this->registry, "boragehill_servers",
                    "Backend servers listed.")),
      planner_term(gauge(this->registry, "boragehill_planner_term",
                         "Term of the planner that is followed.")),
      lines_dropped(gauge(this->registry, "boragehill_log_lines_dropped",
                          "Log lines left out to bound the volume.")),
      loop_delay(gauge(this->registry, "boragehill_loop_delay_seconds",
                       "How late the traffic thread handles what is ready.")),
      link_share(gauge(this->registry, "boragehill_link_share",
                       "Share of the machine's link that is in use.")),
      store(this->registry) {}

void entry_metrics::on_ended(result_code code) {
  this->ended.Add({{"result", std::string(name_of(code))}}).Increment();
}

void entry_metrics::on_quota_spent(const std::string& account, double cost) {
  this->quota_spent.Add({{"account", account}}).Increment(cost);
}

void entry_metrics::on_quota_refunded(const std::string& account, double cost) {
  this->quota_refunded.Add({{"account", account}}).Increment(cost);
}

void entry_metrics::on_quota_rejected(const std::string& account) {
  this->quota_rejected.Add({{"account", account}}).Increment();
}

void entry_metrics::on_retry_sent(const std::string& service) {
  this->retries_sent.Add({{"service", service}}).Increment();
}

void entry_metrics::set_retries_left(const std::string& service, double value) {
  this->retries_left.Add({{"service", service}}).Set(value);
}

void entry_metrics::on_first_byte(milliseconds time, bool generation) {
  this->first_byte
      .Add({{"kind", generation ? "generation" : "plain"}}, time_buckets)
      .Observe(seconds_of(time));
}

void entry_metrics::on_waited(milliseconds time) {
  this->waited.Observe(seconds_of(time));
}

std::string entry_metrics::text() const {
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

}  // namespace boragehill::serve
