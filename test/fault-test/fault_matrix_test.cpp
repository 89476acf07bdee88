#include <gtest/gtest.h>
#include <iostream>

#include "world.hpp"

namespace boragehill::fault {
namespace {

/// The cells of one kind, counted by how they ended.
struct tally {
  int ok = 0;
  int violated = 0;
  int not_applicable = 0;

  /// Runs a cell with the fault at several occurrences of the step.
  void add(step where, const std::vector<trouble>& what) {
    std::map<std::string, std::string> violations;
    std::string not_applicable;
    for (const int nth : {1, 2, 4}) {
      world cell;
      cell.arm(where, what, nth);
      cell.run();
      if (!cell.reached && nth == 1) violations["matrix"] = "step not reached";
      violations.merge(cell.seen.violations);
      if (nth == 1) not_applicable = cell.not_applicable;
    }
    std::cout << step_names[static_cast<std::size_t>(where)] << " | ";
    const char* between = "";
    for (const auto each : what) {
      std::cout << between << trouble_names[static_cast<std::size_t>(each)];
      between = " + ";
    }
    if (!violations.empty()) {
      ++this->violated;
      std::cout << " | violated";
      for (const auto& [checker, text] : violations) {
        std::cout << "; " << checker << ": " << text;
      }
    } else if (!not_applicable.empty()) {
      ++this->not_applicable;
      std::cout << " | not applicable: " << not_applicable;
    } else {
      ++this->ok;
      std::cout << " | ok";
    }
    std::cout << '\n';
  }

  void conclude(const std::string& kind) const {
    std::cout << kind << ": " << this->ok << " ok, " << this->violated
              << " violated, " << this->not_applicable << " not applicable\n";
    EXPECT_EQ(this->violated, 0);
  }
};

TEST(fault_matrix_test, holds_its_promises_under_every_fault_at_every_step) {
  tally cells;
  for (std::size_t row = 0; row < step_names.size(); ++row) {
    for (std::size_t column = 0; column < trouble_names.size(); ++column) {
      cells.add(static_cast<step>(row), {static_cast<trouble>(column)});
    }
  }
  cells.conclude("single faults");
}

TEST(fault_matrix_test, holds_its_promises_under_pairs_of_faults) {
  tally cells;
  for (std::size_t row = 0; row < step_names.size(); ++row) {
    for (std::size_t first = 0; first < paired_troubles; ++first) {
      for (std::size_t then = 0; then < paired_troubles; ++then) {
        if (first == then) continue;
        cells.add(static_cast<step>(row),
                  {static_cast<trouble>(first), static_cast<trouble>(then)});
      }
    }
  }
  cells.conclude("pairs of faults");
}

TEST(fault_matrix_test, is_quiet_without_a_fault) {
  world cell;
  cell.run();
  for (const auto& [checker, text] : cell.seen.violations) {
    ADD_FAILURE() << checker << ": " << text;
  }
  // Of two copies of a key that wait for the same load, one finds the claim
  // of the other; it is told "not run" and resent.
  const int conflict = static_cast<int>(result_code::platform_conflict);
  for (const auto& [id, request] : cell.seen.requests) {
    const auto& outcome = request.outcome;
    if (!request.asked.key.empty() && outcome.code == conflict) continue;
    EXPECT_EQ(outcome.how, caller_outcome::kind::whole)
        << id << " ended with code " << outcome.code;
  }
}

}  // namespace
}  // namespace boragehill::fault
