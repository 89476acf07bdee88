#ifndef BORAGEHILL_DECIDE_STRIKES_HPP
#define BORAGEHILL_DECIDE_STRIKES_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/strike_settings.hpp"
#include "decide/strike_verdict.hpp"

namespace boragehill::decide {

/// Remembers which requests were in flight when backend servers crashed, and
/// convicts the one that crashes each server it runs on.
///
/// A crash strikes every fingerprint in flight. Struck ones then run apart from
/// each other, so the next crash has one struck suspect, which is convicted.
/// While at most one request in flight anywhere crashes servers, it is
/// convicted at its second crash and no other request ever is.
class strikes {
 public:
  explicit strikes(strike_settings settings);

  /// Returns how the request may run now.
  strike_verdict judge(const std::string& fingerprint, time_point now) const;

  /// Notes the crash of one backend server.
  ///
  /// \param in_flight Every fingerprint in flight there, in any order.
  /// \return The newly convicted, to be written to the table and told to peers.
  std::vector<std::string> on_crash(const std::vector<std::string>& in_flight,
                                    time_point now);

  /// Clears the strikes of a request that was answered whole. A conviction
  /// stands.
  void on_success(const std::string& fingerprint);

  /// Takes over a conviction from a peer or the table.
  void convict(const std::string& fingerprint, time_point now);

  /// Returns at most `most` convictions, the latest first.
  std::vector<std::string> recent_convictions(std::size_t most) const;

  /// Returns the number of fingerprints remembered.
  std::size_t size() const;

 private:
  struct entry {
    std::uint32_t count = 0;
    bool convicted = false;
    time_point at;
  };

  const entry* find(const std::string& fingerprint, time_point now) const;
  bool is_struck(const std::string& fingerprint, time_point now) const;
  void make_room(time_point now);

  strike_settings settings;
  std::map<std::string, entry> entries;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STRIKES_HPP
