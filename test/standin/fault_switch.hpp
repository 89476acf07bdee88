#ifndef BORAGEHILL_STANDIN_FAULT_SWITCH_HPP
#define BORAGEHILL_STANDIN_FAULT_SWITCH_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <json/json.h>
#include <mutex>
#include <optional>
#include <string>

namespace boragehill::standin {

/// The faults that a test has set on a stand-in. Kinds add up until "none"
/// clears them all. Thread safe.
class fault_switch {
 public:
  /// \param crash_marker The marker of "crash_on" while none is set.
  explicit fault_switch(const std::string& crash_marker = {})
      : usual_marker(crash_marker), marker(crash_marker) {}

  /// Sets a fault from the body of `POST /standin/fault`.
  ///
  /// \return False if the kind is unknown.
  bool set(const Json::Value& fault);

  /// Waits while frozen.
  void wait_while_frozen();

  /// Sleeps for as long as "slow" says.
  void delay();

  /// \return True if the process ends under a request with this body, by
  ///     "crash_on".
  bool crashes_on_body(const std::string& body);

  /// \return True if the process ends as it begins to respond to a prompt with
  ///     these parts, by "crash_on_part".
  bool crashes_on(const std::string& prompt_parts);

  bool is_down();

  /// \return A number that grows whenever the stand-in falls silent: calls that
  ///     came before or meanwhile are never answered.
  std::uint64_t silences();
  bool is_silent();

  /// \return True while writes are refused and reads are not.
  bool refuses_writes();

  /// \return How much longer each load takes, as "slow_loads" says.
  std::chrono::milliseconds load_delay();

  /// \return How much longer each event of a stream takes, as "slow_events"
  ///     says.
  std::chrono::milliseconds event_delay();

  /// \return True if each answer says that the server leaves ("say_leaving").
  bool says_leaving();

  /// \return The rest that each refusal of "shed" asks for; nothing if none is
  ///     set.
  std::optional<std::chrono::milliseconds> shed_rest();

  /// \return The requests a second that each answer says it takes ("limited");
  ///     empty if none is set.
  std::string limit();

  /// Uses up one of the answers that "lose_answers" loses.
  bool take_lost_answer();

  /// \return True if each answer to a status check breaks off
  ///     ("lose_checks").
  bool loses_checks();

  /// Uses up one of the runs that "fail_runs" fails.
  bool take_failed_run();

  /// \return True if streams have neither a length nor chunks and end with
  ///     their connection ("unframed").
  bool unframes();

  /// \return True if streams end without an event ("empty_streams").
  bool empties_streams();

  /// Uses up one of the streams that "cut_stream" cuts.
  bool take_cut_stream();

 private:
  bool set_kind(const std::string& kind, const Json::Value& fault);
  void clear();

  std::mutex mutex;
  std::condition_variable thawed;
  bool down = false;
  bool read_only = false;
  bool frozen = false;
  bool silent = false;
  bool say_leaving = false;
  std::uint64_t silence_count = 0;
  std::chrono::milliseconds slow{0};
  std::optional<std::chrono::milliseconds> shed;
  std::string limit_text;
  std::chrono::milliseconds slow_loads{0};
  std::chrono::milliseconds slow_events{0};
  std::uint32_t lost_answers = 0;
  bool lost_checks = false;
  std::uint32_t failed_runs = 0;
  std::uint32_t cut_streams = 0;
  bool unframed = false;
  bool empty_streams = false;
  std::string usual_marker;
  std::string marker;
  std::string crashing_part;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_FAULT_SWITCH_HPP
