#ifndef BORAGEHILL_SERVE_PLANNER_FINDER_HPP
#define BORAGEHILL_SERVE_PLANNER_FINDER_HPP

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include <boragehill/time_point.hpp>

#include "decide/planner_loss_detector.hpp"
#include "fleet/planner_row.hpp"
#include "fleet/planner_state.hpp"
#include "fleet/platform_store.hpp"
#include "kernel/event_loop.hpp"
#include "wire/message_link.hpp"

namespace boragehill::serve {

/// Keeps a router linked to the router that plans, and makes this one the
/// planner if there is none.
///
/// The planner is named by a row that is written under a condition, so of many
/// routers that find it lost at once one follows it. The row has no lease: a
/// planner that is lost is replaced by whoever finds its link broken, and one
/// that was replaced without knowing does no harm, since agents follow the
/// higher term.
class planner_finder {
 public:
  using message_receiver = std::function<void(const Json::Value&)>;
  using lost_receiver = std::function<void()>;
  /// Called with what is quarantined whenever the store was read.
  using quarantine_receiver =
      std::function<void(const fleet::quarantine_row& row)>;
  /// Called when this router became the planner.
  using lead_receiver = std::function<void(std::int64_t term)>;

  /// \param reluctance How much longer this router waits than others before it
  ///     makes itself the planner.
  planner_finder(kernel::event_loop& loop, fleet::platform_store& store,
                 fleet::planner_row own, milliseconds reluctance);

  void on_events(message_receiver receive, lost_receiver on_lost,
                 lead_receiver on_lead, quarantine_receiver on_quarantine);

  /// Begins to look for the planner.
  void start();
  /// Looks no longer, and ends the link.
  void stop();

  /// Sends to the planner, if one is linked.
  void send(const Json::Value& message);
  bool linked() const { return this->link && this->link->open(); }

 private:
  void look_later(milliseconds wait);
  void look();
  void on_row(const result<fleet::planner_state>& state);
  void take_later(const fleet::planner_row& known);
  void take(const fleet::planner_row& known);
  void follow(const fleet::planner_row& row);
  void on_link_lost();

  kernel::event_loop& loop;
  fleet::platform_store& store;
  fleet::planner_row own;
  milliseconds reluctance;
  message_receiver receive;
  lost_receiver on_lost;
  lead_receiver on_lead;
  quarantine_receiver on_quarantine;
  asio::steady_timer timer;
  std::shared_ptr<wire::message_link> link;
  fleet::planner_row followed;
  /// The term whose planner could not be reached.
  std::int64_t failed_term = -1;
  decide::planner_loss_detector loss;
  bool stopped = false;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_PLANNER_FINDER_HPP
