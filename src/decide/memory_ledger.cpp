#include "decide/memory_ledger.hpp"

namespace boragehill::decide {

memory_ledger::memory_ledger(std::uint64_t capacity_bytes)
    : capacity_bytes(capacity_bytes) {}

bool memory_ledger::reserve(const std::string& name, std::uint64_t bytes) {
  if (this->has_reservation(name)) return false;
  if (bytes > this->free()) return false;
  this->set_reservation(name, bytes);
  return true;
}

void memory_ledger::release(const std::string& name) {
  const auto found = this->reservations.find(name);
  if (found == this->reservations.end()) return;
  this->reserved_bytes -= found->second;
  this->reservations.erase(found);
}

void memory_ledger::set_reservation(const std::string& name,
                                    std::uint64_t bytes) {
  this->release(name);
  this->reservations.emplace(name, bytes);
  this->reserved_bytes += bytes;
}

std::uint64_t memory_ledger::free() const {
  if (this->reserved_bytes >= this->capacity_bytes) return 0;
  return this->capacity_bytes - this->reserved_bytes;
}

std::uint64_t memory_ledger::bytes_of(const std::string& name) const {
  const auto found = this->reservations.find(name);
  return found == this->reservations.end() ? 0 : found->second;
}

bool memory_ledger::has_reservation(const std::string& name) const {
  return this->reservations.contains(name);
}

}  // namespace boragehill::decide
