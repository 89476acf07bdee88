#ifndef BORAGEHILL_FAULT_TEST_SIM_HPP
#define BORAGEHILL_FAULT_TEST_SIM_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::fault {

/// A process that faults can hit.
struct process {
  std::string name;
  /// Grows at each start; what an earlier life planned is dropped.
  int life = 1;
  bool alive = true;
  time_point frozen_until{};
  time_point cut_until{};
  /// Run once when it dies: connections to it break.
  std::vector<std::function<void()>> at_death;
};

/// Virtual time: events in order, one at a time, and the network between
/// processes. A frozen process handles its events when it wakes.
class sim {
 public:
  using work = std::function<void()>;

  time_point now = time_point{} + std::chrono::hours(1);

  /// Runs `what` in a process, unless it dies before.
  void after(process& in, milliseconds wait, work what) {
    this->put(this->now + wait, &in, in.life, std::move(what));
  }
  /// Runs `what` whatever becomes of any process.
  void outside(milliseconds wait, work what) {
    this->put(this->now + wait, nullptr, 0, std::move(what));
  }
  /// Runs `what` in a process again and again, until it dies.
  void every(process& in, milliseconds interval, const work& what) {
    this->after(in, interval, [this, &in, interval, what] {
      what();
      this->every(in, interval, what);
    });
  }

  /// Sends one message, which a cut of either end loses.
  void send(process& from, process& to, work what) {
    if (&from == &to) return this->after(to, milliseconds(0), std::move(what));
    if (!from.alive || this->cut(from) || this->cut(to)) return;
    this->put(this->now + hop, &to, any_life,
              [this, &from, &to, what = std::move(what)] {
                if (!this->cut(from) && !this->cut(to)) what();
              });
  }
  /// Sends a piece of a connection, which a cut only delays.
  void stream(process& from, process& to, work what) {
    if (!from.alive) return;
    const auto open = std::max({this->now, from.cut_until, to.cut_until});
    this->put(open + hop, &to, to.life, std::move(what));
  }
  /// Calls a process; `done` gets nothing if no answer comes in time.
  template <class Answer>
  void call(process& from, process& to, milliseconds limit,
            std::function<Answer()> handle,
            std::function<void(std::optional<Answer>)> done) {
    auto open = std::make_shared<bool>(true);
    const auto end = [open, done, &from, life = from.life](auto answer) {
      if (from.life != life) return;
      if (std::exchange(*open, false)) done(std::move(answer));
    };
    if (!to.alive) {
      return this->after(from, hop, [end] { end(std::optional<Answer>()); });
    }
    this->send(from, to, [this, &from, &to, handle, end] {
      auto answer = std::make_shared<Answer>(handle());
      this->send(to, from, [end, answer] {
        end(std::optional<Answer>(std::move(*answer)));
      });
    });
    this->after(from, limit, [end] { end(std::optional<Answer>()); });
  }

  void kill(process& victim) {
    if (!victim.alive) return;
    victim.alive = false;
    ++victim.life;
    victim.frozen_until = {};
    for (auto& each : std::exchange(victim.at_death, {})) each();
  }
  /// Runs `what` in `in` when `watched` dies, unless `in` dies before.
  void on_death(process& watched, process& in, work what) {
    watched.at_death.push_back(
        [this, &in, life = in.life, what = std::move(what)] {
          if (in.alive && in.life == life) this->after(in, hop, what);
        });
  }

  bool cut(const process& p) const { return this->now < p.cut_until; }
  bool reachable(const process& from, const process& to) const {
    return to.alive && !this->cut(from) && !this->cut(to);
  }

  void run_until(time_point end) {
    while (!this->events.empty() && this->events.begin()->first.first <= end) {
      auto event = this->events.extract(this->events.begin());
      this->now = std::max(this->now, event.key().first);
      this->happen(event.key().second, std::move(event.mapped()));
    }
    this->now = end;
  }

 private:
  static constexpr milliseconds hop{2};
  static constexpr int any_life = -1;

  struct planned {
    process* in = nullptr;
    int life = 0;
    work what;
  };

  void put(time_point when, process* in, int life, work what) {
    this->events[{when, ++this->order}] = {in, life, std::move(what)};
  }
  void happen(std::uint64_t order, planned event) {
    if (event.in != nullptr) {
      const process& in = *event.in;
      if (!in.alive) return;
      if (event.life != any_life && event.life != in.life) return;
      if (this->now < in.frozen_until) {
        this->events[{in.frozen_until, order}] = std::move(event);
        return;
      }
    }
    event.what();
  }

  std::uint64_t order = 0;
  std::map<std::pair<time_point, std::uint64_t>, planned> events;
};

}  // namespace boragehill::fault

#endif  // BORAGEHILL_FAULT_TEST_SIM_HPP
