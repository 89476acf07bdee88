#ifndef BORAGEHILL_DECIDE_MEMORY_LEDGER_HPP
#define BORAGEHILL_DECIDE_MEMORY_LEDGER_HPP

#include <cstdint>
#include <map>
#include <string>

namespace boragehill::decide {

/// Accelerator memory of one backend server, by model ("base") or adapter
/// ("base:adapter"). Memory is reserved before a load is ordered and released
/// only once the engine confirmed the unload, so that loads, unloads under way
/// and orders of unknown outcome all count.
class memory_ledger {
 public:
  /// \param capacity_bytes What the engine has; 0 until it was asked.
  explicit memory_ledger(std::uint64_t capacity_bytes = 0);

  /// Reserves memory for a name that holds none yet.
  ///
  /// \return False, and nothing changes, if it does not fit or the name is
  ///   reserved already.
  bool reserve(const std::string& name, std::uint64_t bytes);

  /// Gives a name's memory back; unknown names are ignored.
  void release(const std::string& name);

  /// Takes what an engine says it holds, whether or not it fits.
  void adopt(const std::string& name, std::uint64_t bytes);

  /// Returns the capacity in bytes.
  std::uint64_t capacity() const { return this->capacity_bytes; }
  /// Returns the sum of all reservations in bytes.
  std::uint64_t reserved() const { return this->reserved_bytes; }
  /// Returns the bytes that may still be reserved.
  std::uint64_t free() const;
  /// Returns the bytes reserved for a name, 0 if there are none.
  std::uint64_t bytes_of(const std::string& name) const;
  /// Returns whether a name is reserved.
  bool holds(const std::string& name) const;
  /// Returns the reservations by name, in bytes.
  const std::map<std::string, std::uint64_t>& entries() const {
    return this->by_name;
  }

 private:
  std::uint64_t capacity_bytes;
  std::uint64_t reserved_bytes = 0;
  std::map<std::string, std::uint64_t> by_name;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MEMORY_LEDGER_HPP
