#ifndef BORAGEHILL_ROUTER_TEST_FAKE_TABLE_HPP
#define BORAGEHILL_ROUTER_TEST_FAKE_TABLE_HPP

#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include <boragehill/result_code.hpp>
#include <boragehill/table_row.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/table_write.hpp>

namespace boragehill::router {

/// What becomes of one transaction.
enum class write_fate { answered, lost_after_it_stood, lost_before_it_stood };

/// A table in memory that loses answers and goes down as a test says.
class fake_table final : public table_service {
 public:
  /// The fates of the next transactions; answered when empty.
  std::deque<write_fate> fates;
  bool down = false;
  /// The table goes down once an answer was lost.
  bool down_after_loss = false;
  /// Runs before each transaction, for another writer to come first.
  std::function<void()> before_write;
  /// Runs between the first two rows of a read by prefix, which is no snapshot.
  std::function<void()> between_rows;
  std::map<std::string, table_row> rows;

  void put(const std::string& key, const std::string& value) {
    this->rows[key] = {key, value, std::to_string(++this->etags)};
  }

  result<std::optional<table_row>> read(const std::string& key) override {
    if (this->down) return result_code::platform_down;
    const auto found = this->rows.find(key);
    if (found == this->rows.end()) return std::optional<table_row>();
    return std::optional<table_row>(found->second);
  }

  result<std::vector<table_row>> read_prefix(
      const std::string& prefix) override {
    if (this->down) return result_code::platform_down;
    std::vector<table_row> found;
    for (const auto& [key, row] : this->rows) {
      if (!key.starts_with(prefix)) continue;
      found.push_back(row);
      if (auto other = std::exchange(this->between_rows, nullptr)) other();
    }
    return found;
  }

  result<std::vector<std::string>> transact(
      const std::vector<table_write>& writes) override {
    if (auto other = std::exchange(this->before_write, nullptr)) other();
    if (this->down) return result_code::platform_down;
    const write_fate fate = this->take_fate();
    const bool lost = fate != write_fate::answered;
    if (lost && this->down_after_loss) this->down = true;
    if (fate == write_fate::lost_before_it_stood) {
      return result_code::platform_answer_lost;
    }
    auto written = this->write(writes);
    if (lost) return result_code::platform_answer_lost;
    return written;
  }

 private:
  write_fate take_fate() {
    if (this->fates.empty()) return write_fate::answered;
    const write_fate fate = this->fates.front();
    this->fates.pop_front();
    return fate;
  }

  result<std::vector<std::string>> write(
      const std::vector<table_write>& writes) {
    for (const auto& each : writes) {
      const auto found = this->rows.find(each.key);
      const bool stands = found != this->rows.end();
      const std::string etag = stands ? found->second.etag : "";
      if (etag != each.etag) return result_code::platform_conflict;
    }
    std::vector<std::string> written;
    for (const auto& each : writes) {
      if (!each.check_only && each.value) this->put(each.key, *each.value);
      if (!each.check_only && !each.value) this->rows.erase(each.key);
      written.push_back(std::to_string(this->etags));
    }
    return written;
  }

  int etags = 0;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_TEST_FAKE_TABLE_HPP
