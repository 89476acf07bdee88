#ifndef BORAGEHILL_AGENT_OWN_ROW_HPP
#define BORAGEHILL_AGENT_OWN_ROW_HPP

#include <cstdint>
#include <string>

#include <boragehill/result.hpp>
#include <boragehill/server_record.hpp>

namespace boragehill {
class table_service;
}

namespace boragehill::agent {

/// The row `server/<id>` of one agent.
class own_row {
 public:
  /// \param table The platform's table; must outlive it.
  /// \param base The id, failure domain and pool that the row is to have.
  own_row(table_service& table, server_record base);

  /// Takes the next fencing number by a conditional write.
  ///
  /// \param capacity_bytes What the engine has; 0 keeps what stands there.
  /// \return The number. Errors: those of the table. After platform_conflict
  ///   and platform_answer_lost the call is to be repeated: it reads anew and
  ///   takes a number above any that stands. A lost answer is never taken for
  ///   a success, since another start may have written the same number.
  result<std::uint64_t> take_fence(std::uint64_t capacity_bytes);

  /// Reads the row. Errors: those of the table, frame_garbled,
  /// platform_not_found.
  result<server_record> read();

 private:
  table_service* table;
  server_record base;
  std::string key;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_OWN_ROW_HPP
