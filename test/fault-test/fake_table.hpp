#ifndef BORAGEHILL_FAULT_TEST_FAKE_TABLE_HPP
#define BORAGEHILL_FAULT_TEST_FAKE_TABLE_HPP

#include <any>
#include <cstdint>

#include <boragehill/result_code.hpp>

#include "sim.hpp"

namespace boragehill::fault {

/// A row as read; etag 0 if there is none.
struct table_cell {
  std::uint64_t etag = 0;
  std::any value;

  /// Returns the value, or a default one.
  template <class Row>
  Row as() const {
    return this->etag == 0 ? Row{} : std::any_cast<Row>(this->value);
  }
};

/// One guarded write of a transaction.
struct table_change {
  std::string key;
  std::uint64_t etag = 0;
  std::any value;
};

/// The platform's table: conditional writes, slow, down or with lost answers
/// as told.
class fake_table {
 public:
  using cells = std::vector<table_cell>;

  explicit fake_table(sim& time) : time(&time) {}

  time_point down_until{};
  time_point slow_until{};
  /// Whether the next write's answer gets lost.
  bool lose_answer = false;
  /// Set once that happened.
  bool answer_was_lost = false;
  std::function<void()> on_change;

  /// Reads rows; nothing if the table does not answer.
  void read(process& who, const std::vector<std::string>& keys,
            const std::function<void(std::optional<cells>)>& done) {
    this->reach(who, [this, &who, life = who.life, keys, done](bool reached) {
      if (who.life != life) return;
      std::optional<cells> found;
      if (reached) found.emplace();
      for (const auto& key : keys) {
        if (reached) found->push_back(this->rows[key]);
      }
      this->answer(
          who, [done, found] { done(found); }, [done] { done(std::nullopt); });
    });
  }

  /// Writes all or nothing.
  void write(process& who, const std::vector<table_change>& changes,
             const std::function<void(result_code)>& done) {
    this->reach(who, [this, &who, life = who.life, changes, done](bool ok) {
      const auto code = ok ? this->apply(changes) : result_code::platform_down;
      const auto lost = [done] { done(result_code::platform_answer_lost); };
      if (who.life != life) return;
      const bool applied = code == result_code::ok;
      if (applied && std::exchange(this->lose_answer, false)) {
        this->answer_was_lost = true;
        return this->time->after(who, give_up, lost);
      }
      this->answer(
          who, [done, code] { done(code); }, lost);
    });
  }

  const table_cell& peek(const std::string& key) { return this->rows[key]; }

 private:
  static constexpr milliseconds give_up{500};

  milliseconds delay() const {
    return milliseconds(this->time->now < this->slow_until ? 750 : 3);
  }
  void reach(process& who, const std::function<void(bool)>& arrive) {
    if (!who.alive) return;
    const bool cut = this->time->cut(who);
    this->time->outside(cut ? give_up : this->delay(), [this, cut, arrive] {
      arrive(!cut && this->time->now >= this->down_until);
    });
  }
  void answer(process& who, sim::work done, sim::work lost) {
    if (this->time->cut(who)) {
      return this->time->after(who, give_up, std::move(lost));
    }
    this->time->after(who, this->delay(), std::move(done));
  }
  result_code apply(const std::vector<table_change>& changes) {
    for (const auto& change : changes) {
      if (this->rows[change.key].etag != change.etag) {
        return result_code::platform_conflict;
      }
    }
    for (const auto& change : changes) {
      this->rows[change.key] = {++this->last_etag, change.value};
    }
    if (this->on_change) this->on_change();
    return result_code::ok;
  }

  sim* time;
  std::uint64_t last_etag = 0;
  std::map<std::string, table_cell> rows;
};

}  // namespace boragehill::fault

#endif  // BORAGEHILL_FAULT_TEST_FAKE_TABLE_HPP
