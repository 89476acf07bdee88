#ifndef BORAGEHILL_APP_EXIT_CODE_HPP
#define BORAGEHILL_APP_EXIT_CODE_HPP

namespace boragehill::app {

/// What the program's exit status says; docs/OPERATIONS.md lists them.
enum class exit_code : int {
  /// Done, or stopped gracefully.
  ok = 0,
  /// The command was understood and failed.
  failed = 1,
  /// The command line or the settings are wrong; nothing was started.
  usage = 2,
  /// A profile was not accepted because another change came first.
  conflict = 3,
  /// The router can't be reached or does not accept the token.
  unreachable = 4,
  /// It may have been accepted: ask again.
  unconfirmed = 5,
};

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_EXIT_CODE_HPP
