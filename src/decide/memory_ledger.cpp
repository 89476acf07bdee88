#include "decide/memory_ledger.hpp"

namespace boragehill::decide {

memory_ledger::memory_ledger(std::uint64_t capacity_bytes)
    : capacity_bytes(capacity_bytes) {}

bool memory_ledger::reserve(const std::string& name, std::uint64_t bytes) {
  if (this->holds(name)) return false;
  if (bytes > this->free()) return false;
  this->adopt(name, bytes);
  return true;
}

void memory_ledger::release(const std::string& name) {
  const auto found = this->by_name.find(name);
  if (found == this->by_name.end()) return;
  this->reserved_bytes -= found->second;
  this->by_name.erase(found);
}

void memory_ledger::adopt(const std::string& name, std::uint64_t bytes) {
  this->release(name);
  this->by_name.emplace(name, bytes);
  this->reserved_bytes += bytes;
}

std::uint64_t memory_ledger::free() const {
  if (this->reserved_bytes >= this->capacity_bytes) return 0;
  return this->capacity_bytes - this->reserved_bytes;
}

std::uint64_t memory_ledger::bytes_of(const std::string& name) const {
  const auto found = this->by_name.find(name);
  return found == this->by_name.end() ? 0 : found->second;
}

bool memory_ledger::holds(const std::string& name) const {
  return this->by_name.contains(name);
}

}  // namespace boragehill::decide
