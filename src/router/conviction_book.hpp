#ifndef BORAGEHILL_ROUTER_CONVICTION_BOOK_HPP
#define BORAGEHILL_ROUTER_CONVICTION_BOOK_HPP

#include <deque>
#include <mutex>
#include <string>
#include <unordered_set>
#include <vector>

namespace boragehill {
class table_service;
}

namespace boragehill::router {

/// The fingerprints of requests that crash backend servers, as every router
/// holds them, so that a resend dies at the entry. Bounded; the oldest go
/// first. Thread safe.
class conviction_book {
 public:
  /// \param capacity The most fingerprints held.
  explicit conviction_book(std::size_t capacity) : capacity(capacity) {}

  /// Adds one convicted by this router's home; it is to be written down.
  void add_own(const std::string& fingerprint);

  /// Adds one that a peer or the table told of.
  ///
  /// \return False if it was known.
  bool add(const std::string& fingerprint);

  bool contains(const std::string& fingerprint) const;

  /// Returns the latest ones, for heartbeats.
  std::vector<std::string> latest(std::size_t most) const;

  /// Writes the own ones that are not yet in the table, and reads those of
  /// others; what fails is tried again at the next call.
  ///
  /// \return Those read that were not known.
  std::vector<std::string> sync(table_service& table);

  std::size_t size() const;

 private:
  bool add_locked(const std::string& fingerprint);

  std::size_t capacity;
  mutable std::mutex mutex;
  std::unordered_set<std::string> known;
  std::deque<std::string> by_age;
  std::vector<std::string> unwritten;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_CONVICTION_BOOK_HPP
