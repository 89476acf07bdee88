#ifndef BORAGEHILL_DECIDE_SERVER_LOAD_HPP
#define BORAGEHILL_DECIDE_SERVER_LOAD_HPP

#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// What one backend server has told of its load, with the age of each figure.
class server_load {
 public:
  /// Figures of a server's response.
  struct figures {
    int running = 0;
    int waiting = 0;
    /// How long work takes there; 1 is the usual time.
    double pace = 1;

    bool operator==(const figures&) const = default;
  };

  /// Records figures that have just arrived.
  /// \param own_requests Requests of this router that the server has.
  void on_figures(const figures& told, int own_requests, time_point now);

  /// \return True if the server has told its pace.
  bool has_pace() const { return this->told_at.has_value(); }

  /// \return The pace, smoothed: the mean of recent figures, and with their age
  ///     that of all.
  double pace(time_point now) const;

  /// \return The number of requests of other routers there when the last
  ///     figures were told; nothing if these are older than the planner's news.
  std::optional<int> other_requests(time_point now) const;

 private:
  /// A machine's other tenants come and go many times a second. A single figure
  /// says little about the time that a request of some hundred milliseconds
  /// takes.
  static constexpr milliseconds recent_time{300};
  /// In which the server's own speed shows.
  static constexpr milliseconds usual_time{10000};
  /// The planner tells of changes within this time.
  static constexpr milliseconds planner_age{100};

  std::optional<time_point> told_at;
  int others = 0;
  double recent_pace = 1;
  double usual_pace = 1;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SERVER_LOAD_HPP
