#ifndef BORAGEHILL_DECIDE_MEMORY_LEDGER_HPP
#define BORAGEHILL_DECIDE_MEMORY_LEDGER_HPP

#include <cstdint>
#include <map>
#include <string>

namespace boragehill::decide {

/// Reservations of accelerator memory on one backend server, by model ("base")
/// or adapter ("base:adapter").
///
/// Memory is reserved before a load is ordered and released only once the
/// engine confirmed the unload. Loads and unloads in progress and orders of
/// unknown outcome are thus included.
class memory_ledger {
 public:
  /// \param capacity_bytes The engine's memory; 0 until its state was read.
  explicit memory_ledger(std::uint64_t capacity_bytes = 0);

  /// Reserves memory for a name without a reservation.
  ///
  /// \return False, without a change, if the memory is not free or the name
  ///   has a reservation.
  bool reserve(const std::string& name, std::uint64_t bytes);

  /// Releases the reservation of a name, if there is one.
  void release(const std::string& name);

  /// Sets a name's reservation, even beyond the capacity: an engine may report
  /// more than that.
  void set_reservation(const std::string& name, std::uint64_t bytes);

  std::uint64_t capacity() const { return this->capacity_bytes; }
  /// Returns the sum of all reservations in bytes.
  std::uint64_t reserved() const { return this->reserved_bytes; }
  /// Returns the bytes without a reservation.
  std::uint64_t free() const;
  /// Returns the bytes reserved for a name, 0 without a reservation.
  std::uint64_t bytes_of(const std::string& name) const;
  /// Returns whether a name has a reservation.
  bool has_reservation(const std::string& name) const;
  /// Returns the reservations by name, in bytes.
  const std::map<std::string, std::uint64_t>& entries() const {
    return this->reservations;
  }

 private:
  std::uint64_t capacity_bytes;
  std::uint64_t reserved_bytes = 0;
  std::map<std::string, std::uint64_t> reservations;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MEMORY_LEDGER_HPP
