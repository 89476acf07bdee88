#ifndef BORAGEHILL_FAULT_TEST_MATRIX_NAMES_HPP
#define BORAGEHILL_FAULT_TEST_MATRIX_NAMES_HPP

#include <array>
#include <cstddef>
#include <set>
#include <string>

namespace boragehill::fault {

/// A step of the path, named where it happens.
enum class step {
  accept,
  ask_home,
  wake_ordered,
  load_running,
  load_answered,
  claim_written,
  dispatched,
  running,
  streaming,
  ended,
  result_written,
  publish_read,
  publish_written,
  catalog_spread,
  grant_given_up,
  grant_taken_back,
  stop,
};

inline constexpr std::array step_names{"accept",
                                       "ask home",
                                       "wake ordered",
                                       "load running",
                                       "load answered",
                                       "claim written",
                                       "dispatched",
                                       "running",
                                       "streaming",
                                       "ended",
                                       "result written",
                                       "publish read",
                                       "publish written",
                                       "catalog spread",
                                       "grant given up",
                                       "grant taken back",
                                       "stop"};

/// What goes wrong at that moment. The first six also come in pairs.
enum class trouble {
  kill,
  cut,
  freeze,
  table_down,
  table_slow,
  answer_lost,
  two_operators,
  vm_reclaimed,
  store_slow,
  engine_crash,
};

inline constexpr std::array trouble_names{
    "kill",       "cut",         "freeze",        "table down",
    "table slow", "answer lost", "two operators", "vm reclaimed",
    "store slow", "engine crash"};
inline constexpr std::size_t paired_troubles = 6;

/// Decisions broken on purpose, to see each checker fire.
enum class breakage {
  none,
  retry_after_broken_send,
  run_offers_again,
  answer_unload_early,
  take_grant_unasked,
  say_never_ran,
  ignore_deadline,
  swap_answers,
  ignore_leaving,
  apply_any_revision,
  publish_unguarded,
  cut_at_stop,
  convict_all_in_flight,
  call_all_never_ran,
  ignore_catalog,
  forget_wakes,
};

}  // namespace boragehill::fault

#endif  // BORAGEHILL_FAULT_TEST_MATRIX_NAMES_HPP
