#ifndef BORAGEHILL_TEST_FAKE_TABLE_HPP
#define BORAGEHILL_TEST_FAKE_TABLE_HPP

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <boragehill/result_code.hpp>
#include <boragehill/table_row.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/table_write.hpp>

namespace boragehill::agent {

/// The rows of a table that outlives the agents of a test.
struct fake_rows {
  std::mutex mutex;
  std::map<std::string, table_row> rows;
  int next_etag = 1;
  bool down = false;
  /// So many transactions take effect and lose their answer.
  int answers_to_lose = 0;

  void put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(this->mutex);
    this->rows[key] = {key, value, std::to_string(this->next_etag++)};
  }

  void set_down(bool is_down) {
    const std::lock_guard lock(this->mutex);
    this->down = is_down;
  }
};

/// A table service over such rows.
class fake_table : public table_service {
 public:
  explicit fake_table(fake_rows& rows) : shared(&rows) {}

  result<std::optional<table_row>> read(const std::string& key) override {
    const std::lock_guard lock(this->shared->mutex);
    if (this->shared->down) return result_code::platform_down;
    const auto found = this->shared->rows.find(key);
    if (found == this->shared->rows.end()) return std::optional<table_row>();
    return std::optional<table_row>(found->second);
  }

  result<std::vector<table_row>> read_prefix(const std::string&) override {
    return result_code::platform_down;
  }

  result<std::vector<std::string>> transact(
      const std::vector<table_write>& writes) override {
    const std::lock_guard lock(this->shared->mutex);
    if (this->shared->down) return result_code::platform_down;
    for (const auto& write : writes) {
      const auto found = this->shared->rows.find(write.key);
      const bool stands = found != this->shared->rows.end();
      const std::string etag = stands ? found->second.etag : "";
      if (etag != write.etag) return result_code::platform_conflict;
    }
    std::vector<std::string> etags;
    for (const auto& write : writes) {
      etags.push_back(std::to_string(this->shared->next_etag++));
      this->shared->rows[write.key] = {write.key, write.value.value_or(""),
                                       etags.back()};
    }
    if (this->shared->answers_to_lose > 0) {
      --this->shared->answers_to_lose;
      return result_code::platform_answer_lost;
    }
    return etags;
  }

 private:
  fake_rows* shared;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_TEST_FAKE_TABLE_HPP
