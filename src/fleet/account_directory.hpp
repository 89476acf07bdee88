#ifndef BORAGEHILL_FLEET_ACCOUNT_DIRECTORY_HPP
#define BORAGEHILL_FLEET_ACCOUNT_DIRECTORY_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet/account.hpp"
#include "fleet/account_keys.hpp"

namespace boragehill::fleet {

/// The client accounts of a catalog and their keys.
///
/// Holds salted digests in place of the keys, so that neither a memory dump nor
/// the time of a lookup tells a key. A lookup's time doesn't depend on the
/// number of keys.
class account_directory {
 public:
  account_directory() = default;
  /// \param accounts Must have no problem, see `find_problem`.
  explicit account_directory(const std::vector<account_keys>& accounts);

  bool operator==(const account_directory&) const = default;

  /// \return Why the accounts can't be told apart by name or key; nothing if
  ///     they can. Names no key.
  static std::optional<std::string> find_problem(
      const std::vector<account_keys>& accounts);

  /// \return The account that holds the key, or null.
  const account* find(std::string_view key) const;

  /// \return All accounts, in the order of the configuration.
  const std::vector<account>& all() const { return this->accounts; }

  bool empty() const { return this->accounts.empty(); }

 private:
  std::vector<account> accounts;
  /// Index of the account, by the key's digest.
  std::unordered_map<std::string, std::size_t> owners;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_ACCOUNT_DIRECTORY_HPP
