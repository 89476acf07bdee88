#include "fleet/account_directory.hpp"

#include <array>
#include <map>
#include <openssl/sha.h>
#include <random>
#include <set>

namespace boragehill::fleet {

namespace {

constexpr std::size_t salt_words = 8;

std::string make_salt() {
  std::random_device source;
  std::string salt;
  for (std::size_t each = 0; each < salt_words; ++each) {
    const auto word = source();
    salt.append(reinterpret_cast<const char*>(&word), sizeof(word));
  }
  return salt;
}

std::string digest_of(std::string_view key) {
  static const std::string salt = make_salt();
  const std::string salted = salt + std::string(key);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(salted.data()), salted.size(),
         digest.data());
  return {digest.begin(), digest.end()};
}

}  // namespace

account_directory::account_directory(
    const std::vector<account_keys>& accounts) {
  for (const auto& each : accounts) {
    for (const auto& key : each.keys) {
      this->owners.emplace(digest_of(key), this->accounts.size());
    }
    this->accounts.push_back(each.owner);
  }
}

std::optional<std::string> account_directory::find_problem(
    const std::vector<account_keys>& accounts) {
  std::set<std::string> names;
  std::map<std::string, std::string> holders;
  for (const auto& each : accounts) {
    const auto& name = each.owner.name;
    if (name.empty()) return "an account has no name";
    if (!names.insert(name).second) return "two accounts are named " + name;
    for (const auto& key : each.keys) {
      if (key.empty()) return "account " + name + " has an empty key";
      const auto holder = holders.emplace(key, name).first->second;
      if (holder != name) {
        std::string why = "accounts ";
        why.append(holder).append(" and ").append(name);
        return why.append(" share a key");
      }
    }
  }
  return std::nullopt;
}

const account* account_directory::find(std::string_view key) const {
  const auto found = this->owners.find(digest_of(key));
  return found == this->owners.end() ? nullptr : &this->accounts[found->second];
}

}  // namespace boragehill::fleet
