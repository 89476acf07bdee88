#ifndef BORAGEHILL_ROUTER_PLACEMENT_STORE_HPP
#define BORAGEHILL_ROUTER_PLACEMENT_STORE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <boragehill/grant.hpp>
#include <boragehill/placement.hpp>
#include <boragehill/result.hpp>
#include <boragehill/server_record.hpp>

namespace boragehill {
class table_service;
}

namespace boragehill::decide {
struct grant_acknowledgement;
}

namespace boragehill::router {

/// Reads and changes grants in the platform's table. Every change is one
/// transaction guarded by the model's row and the server's row. Holds no
/// state; thread safe.
class placement_store {
 public:
  explicit placement_store(table_service& table) : table(table) {}

  /// Reads the grants of a model; none if it has no row yet.
  result<placement> read(const std::string& model);

  /// Reads all backend servers' rows.
  result<std::vector<server_record>> read_servers();

  /// Adds a grant.
  ///
  /// \return The placement with it. Errors: no_memory (it can never fit),
  ///   platform_conflict (a row changed in between: read again and choose
  ///   again), platform_down, platform_answer_lost (read again).
  result<placement> add(const std::string& server, const grant& added);

  /// Removes a grant that its agent gave up.
  ///
  /// \param given The agent's acknowledgement.
  /// \return The placement without it. Errors: order_fenced (the agent was
  ///   restarted since, or has a later grant), else as for `add`.
  result<placement> remove(const std::string& server, const std::string& model,
                           const decide::grant_acknowledgement& given);

  /// Removes a grant of a VM that is gone.
  result<placement> remove_gone(const std::string& server,
                                const std::string& model);

 private:
  struct rows;

  result<rows> read_both(const std::string& server, const std::string& model);
  result<placement> write_both(const rows& before, const placement& model_row,
                               const server_record& server_row);

  table_service& table;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_PLACEMENT_STORE_HPP
