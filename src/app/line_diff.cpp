#include "app/line_diff.hpp"

#include <algorithm>
#include <sstream>
#include <vector>

namespace boragehill::app {

namespace {

using lines = std::vector<std::string>;
using length_table = std::vector<std::vector<std::size_t>>;

lines split(const std::string& text) {
  lines all;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) all.push_back(line);
  return all;
}

/// The longest common subsequence of each pair of tails.
length_table common_tails(const lines& a, const lines& b) {
  length_table common(a.size() + 1, std::vector<std::size_t>(b.size() + 1));
  for (std::size_t i = a.size(); i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      common[i][j] = a[i] == b[j]
                         ? common[i + 1][j + 1] + 1
                         : std::max(common[i + 1][j], common[i][j + 1]);
    }
  }
  return common;
}

}  // namespace

std::string line_diff(const std::string& before, const std::string& after) {
  const lines a = split(before);
  const lines b = split(after);
  const length_table common = common_tails(a, b);
  std::string out;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      out += " " + a[i] + "\n";
      ++i;
      ++j;
      continue;
    }
    const bool take_old =
        j == b.size() || (i < a.size() && common[i + 1][j] >= common[i][j + 1]);
    out += take_old ? "-" + a[i++] + "\n" : "+" + b[j++] + "\n";
  }
  return out;
}

}  // namespace boragehill::app
