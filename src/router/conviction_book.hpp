#ifndef BORAGEHILL_ROUTER_CONVICTION_BOOK_HPP
#define BORAGEHILL_ROUTER_CONVICTION_BOOK_HPP

#include <deque>
#include <mutex>
#include <string>
#include <unordered_set>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill {
class table_service;
}

namespace boragehill::router {

/// The fingerprints of requests that crash backend servers, as every router
/// holds them, so that a resend dies at the entry. Bounded; the oldest go
/// first, and each is let off after the time that strikes are kept, since what
/// crashed may have been mended. Thread safe.
class conviction_book {
 public:
  /// \param capacity The most fingerprints held.
  /// \param keep How long a conviction stands.
  conviction_book(std::size_t capacity, milliseconds keep);

  /// Adds one convicted by this router's home; it is to be written down.
  void add_own(const std::string& fingerprint, time_point now);

  /// Adds one that a peer or the table told of.
  ///
  /// \return False if it was known.
  bool add(const std::string& fingerprint, time_point now);

  /// Returns whether a request is convicted.
  bool contains(const std::string& fingerprint) const;

  /// Returns the latest ones, for heartbeats; only those learned within a
  /// minute. Told for longer, two routers would teach each other again what
  /// each had just let off, and no conviction would ever end.
  std::vector<std::string> latest(std::size_t most, time_point now) const;

  /// Writes the own ones that are not yet in the table; what fails is tried
  /// again at the next call.
  void write_down(table_service& table);

  /// Reads what stands in the table and removes what is too old there.
  ///
  /// \return Those read that were not known.
  std::vector<std::string> read_all(table_service& table, time_point now);

  /// Lets off those that stood long enough.
  void expire(time_point now);

  /// Returns how many are held.
  std::size_t size() const;

 private:
  struct entry {
    std::string fingerprint;
    time_point at;
  };

  bool add_locked(const std::string& fingerprint, time_point now);
  void drop_oldest();

  std::size_t capacity;
  milliseconds keep;
  mutable std::mutex mutex;
  std::unordered_set<std::string> known;
  std::deque<entry> by_age;
  std::vector<std::string> unwritten;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_CONVICTION_BOOK_HPP
