#ifndef BORAGEHILL_DECIDE_CATALOG_HPP
#define BORAGEHILL_DECIDE_CATALOG_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boragehill/profile.hpp>

#include "decide/model_spec.hpp"

namespace boragehill::decide {

/// The profiles published at one revision, indexed for the request path.
///
/// A catalog is immutable: each revision gets a new one, and requests finish
/// under the catalog with which they began.
class catalog {
 public:
  catalog() = default;

  /// Indexes the profiles of one revision.
  ///
  /// \param revision The global revision.
  /// \param profiles All profiles in force at this revision.
  catalog(std::uint64_t revision, std::vector<profile> profiles);

  std::uint64_t revision() const { return this->revision_number; }
  const std::vector<profile>& profiles() const { return this->profile_list; }

  /// Returns the profile that lists a service; null if none does.
  const profile* profile_of(std::string_view service) const;

  /// Returns the requirements for a model; null if no profile lists it.
  const model_spec* spec_of(std::string_view model) const;

  /// Returns the requirements for all models, by name.
  const std::map<std::string, model_spec, std::less<>>& models() const {
    return this->specs;
  }

  bool operator==(const catalog&) const = default;

 private:
  void add_model(const profile& owner, const profile_model& model);

  std::uint64_t revision_number = 0;
  std::vector<profile> profile_list;
  std::map<std::string, std::size_t, std::less<>> profile_index_by_service;
  std::map<std::string, model_spec, std::less<>> specs;
};

/// Returns whether a profile allows a model, and its adapter if one is named.
bool allows_model(const profile& owner, std::string_view base,
                  std::string_view adapter);

/// Returns whether a profile allows a pool of plain services.
bool allows_pool(const profile& owner, std::string_view pool);

/// Returns whether a profile declares a call as non-idempotent.
bool is_non_idempotent(const profile& owner, std::string_view method,
                       std::string_view path);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CATALOG_HPP
