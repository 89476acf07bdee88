#ifndef BORAGEHILL_SOAK_SOAK_CALLERS_HPP
#define BORAGEHILL_SOAK_SOAK_CALLERS_HPP

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boragehill/endpoint.hpp>

#include "soak/call_record.hpp"
#include "soak/stream_record.hpp"

namespace boragehill::soak {

/// What the bodies of requests that end servers begin with.
constexpr auto crash_marker = "poison";

/// Callers that send one request after the other, each on connections that it
/// keeps open to all routers until they are closed on it.
class soak_callers {
 public:
  /// \param routers Where callers reach each router.
  /// \param seed Each caller draws its requests from a source of its own.
  soak_callers(std::vector<endpoint> routers, int models, std::uint64_t seed);
  ~soak_callers();
  soak_callers(const soak_callers&) = delete;
  soak_callers& operator=(const soak_callers&) = delete;

  /// \param impatient Further callers, which hang up after a short silence.
  /// \param lookups Further callers, whose requests may be run twice.
  /// \param resuming Further callers, who ask for streams that may be resumed
  ///     and take broken ones up again at another router.
  void start(int patient, int impatient, int lookups, int resuming);
  /// Starts callers that send the same request to any router again and again,
  /// which ends servers.
  /// \param number Of the request.
  /// \param streams Whether it asks for a stream.
  void start_crashing(int callers, int number, bool streams);
  /// Ends after each caller's current request.
  void stop();

  /// \return All that was seen; called after `stop`.
  const std::vector<call_record>& seen() const { return this->records; }
  /// \return The streams that may be resumed; called after `stop`.
  const std::vector<stream_record>& streams() const { return this->resumed; }

 private:
  enum class caller_kind {
    patient,
    impatient,
    lookup,
    crashing,
    crashing_stream,
    resuming
  };

  void add(int count, caller_kind kind, const std::string& crashing = {});
  /// \param crashing The body of each request; any if empty.
  void run(int number, caller_kind kind, const std::string& crashing);
  void run_streams(int number);

  std::vector<endpoint> routers;
  int models;
  std::uint64_t seed;
  std::atomic<bool> over{false};
  std::mutex mutex;
  std::vector<call_record> records;
  std::vector<stream_record> resumed;
  std::vector<std::thread> threads;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_SOAK_CALLERS_HPP
