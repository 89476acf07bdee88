#ifndef BORAGEHILL_AGENT_AGENT_METRICS_HPP
#define BORAGEHILL_AGENT_AGENT_METRICS_HPP

#include <memory>
#include <string>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/engine_order.hpp>
#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::agent {

struct brain_view;

/// The agent's numbers for Prometheus, all named `boragehill_agent_*`. Thread
/// safe, but for `show`, which belongs to one thread.
class agent_metrics {
 public:
  agent_metrics();
  ~agent_metrics();

  agent_metrics(const agent_metrics&) = delete;
  agent_metrics& operator=(const agent_metrics&) = delete;

  /// Shows the state; the time since the last call counts as idle for each
  /// idle replica.
  void show(const brain_view& view, time_point now);
  /// Counts a refused attempt.
  void count_refusal(result_code code);
  /// Counts an order that was carried out.
  void count_order(order_kind kind, checkpoint_tier tier);
  /// Counts an order whose answer was lost.
  void count_unknown_order();

  /// Returns everything in the Prometheus text format.
  std::string text() const;

 private:
  class impl;
  std::unique_ptr<impl> inner;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_AGENT_METRICS_HPP
