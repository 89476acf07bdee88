#include "arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace boragehill::bench {

namespace {

/// Sessions an hour of the most popular model; the next ones fall off as a
/// power of their rank. It leaves about half of the models idle in any hour.
constexpr double top_sessions_an_hour = 12;
constexpr double popularity_exponent = 0.9;
constexpr double requests_a_session = 6;
constexpr double seconds_between_requests = 15;
constexpr double mean_run_seconds = 2;
constexpr double storm_seconds = 600;
constexpr double storm_begins = 900;
constexpr std::size_t storm_sessions_a_model = 4;
constexpr double opening_seconds = 5;
constexpr double rush_every_seconds = 900;
constexpr double rush_seconds = 60;
constexpr std::size_t rush_share = 5;
/// Requests of one burst, all within two seconds.
constexpr std::size_t burst_requests = 8;
constexpr double burst_seconds = 2;

class drawer {
 public:
  explicit drawer(const arrival_plan& wanted)
      : plan(wanted), random(wanted.seed) {}

  std::vector<arrival> draw() {
    this->draw_sessions();
    if (this->plan.kind == arrival_kind::storm) this->draw_storm();
    if (this->plan.kind == arrival_kind::rush) this->draw_rushes();
    if (this->plan.kind == arrival_kind::opening) this->draw_opening();
    std::ranges::stable_sort(this->drawn, std::less{}, &arrival::at);
    return std::move(this->drawn);
  }

 private:
  // The standard fixes the engine's numbers but not the distributions', so
  // these are drawn by hand: bounds have to hold with any library.
  double uniform() {
    constexpr double scale = 1.0 / 18446744073709551616.0;
    return static_cast<double>(this->random()) * scale;
  }
  double exponential(double mean) {
    return -mean * std::log1p(-this->uniform());
  }
  double length() const {
    return static_cast<double>(this->plan.length.count()) / 1000.0;
  }

  /// One for a session or burst: its callers are of one service.
  milliseconds patience() {
    const double chance = this->uniform();
    if (chance < 0.6) return milliseconds(30000);
    if (chance < 0.85) return milliseconds(60000);
    return milliseconds(120000);
  }

  void add(double seconds, std::size_t model, milliseconds wait) {
    if (seconds >= this->length()) return;
    const auto at = milliseconds(std::llround(seconds * 1000));
    const double run = 0.2 + this->exponential(mean_run_seconds);
    this->drawn.push_back({.at = at,
                           .model = model,
                           .patience = wait,
                           .run = milliseconds(std::llround(run * 1000))});
  }

  void add_burst(double from, std::size_t model) {
    const milliseconds wait = this->patience();
    for (std::size_t i = 0; i < burst_requests; ++i) {
      this->add(from + this->uniform() * burst_seconds, model, wait);
    }
  }

  void draw_sessions() {
    for (std::size_t model = 0; model < this->plan.models; ++model) {
      const double rank = static_cast<double>(model + 1);
      const double an_hour =
          top_sessions_an_hour / std::pow(rank, popularity_exponent);
      double begin = this->exponential(3600.0 / an_hour);
      while (begin < this->length()) {
        this->draw_session(begin, model);
        begin += this->exponential(3600.0 / an_hour);
      }
    }
  }

  void draw_session(double begin, std::size_t model) {
    const double go_on = 1.0 - 1.0 / requests_a_session;
    const milliseconds wait = this->patience();
    double moment = begin;
    this->add(moment, model, wait);
    while (this->uniform() < go_on) {
      moment += this->exponential(seconds_between_requests);
      this->add(moment, model, wait);
    }
  }

  void draw_storm() {
    for (std::size_t model = 0; model < this->plan.models; ++model) {
      for (std::size_t i = 0; i < storm_sessions_a_model; ++i) {
        this->add_burst(storm_begins + this->uniform() * storm_seconds, model);
      }
    }
  }

  void draw_opening() {
    for (std::size_t model = 0; model < this->plan.models; ++model) {
      this->add_burst(storm_begins + this->uniform() * opening_seconds, model);
    }
  }

  void draw_rushes() {
    double begin = rush_every_seconds;
    for (; begin < this->length(); begin += rush_every_seconds) {
      const std::size_t called = this->plan.models / rush_share;
      for (std::size_t i = 0; i < called; ++i) {
        const auto model = static_cast<std::size_t>(
            this->uniform() * static_cast<double>(this->plan.models));
        this->add_burst(begin + this->uniform() * rush_seconds, model);
      }
    }
  }

  const arrival_plan& plan;
  std::mt19937_64 random;
  std::vector<arrival> drawn;
};

}  // namespace

std::vector<arrival> draw_arrivals(const arrival_plan& plan) {
  return drawer(plan).draw();
}

}  // namespace boragehill::bench
