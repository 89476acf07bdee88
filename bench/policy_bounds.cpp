#include "policy_bounds.hpp"

#include <algorithm>
#include <toml++/toml.h>

namespace boragehill::bench {

namespace {

constexpr double no_figure = -1;

std::string text_of(const toml::table& entry, std::string_view key) {
  return entry[key].value_or(std::string{});
}

double measure(const policy_bound& bound, const std::string& way,
               const std::vector<policy_case>& cases) {
  const auto found = std::ranges::find_if(cases, [&](const policy_case& one) {
    return one.scale == bound.scale && one.question == bound.question &&
           name_of(one.load) == bound.load && one.way == way;
  });
  if (found == cases.end()) return no_figure;
  return figure_of(found->outcome, bound.figure);
}

bound_verdict judge(const policy_bound& bound,
                    const std::vector<policy_case>& cases) {
  const double figure = measure(bound, bound.way, cases);
  if (figure < 0) return {.bound = bound};
  if (bound.against.empty()) {
    return {bound, figure, figure <= bound.most, true};
  }
  const double baseline = measure(bound, bound.against, cases);
  if (baseline <= 0) return {.bound = bound};
  const double ratio = figure / baseline;
  return {bound, ratio, ratio <= bound.most, true};
}

}  // namespace

std::vector<policy_bound> read_bounds(const std::string& path) {
  const toml::table file = toml::parse_file(path);
  std::vector<policy_bound> bounds;
  const toml::array* entries = file["bound"].as_array();
  if (entries == nullptr) return bounds;
  for (const toml::node& node : *entries) {
    const toml::table* entry = node.as_table();
    if (entry == nullptr) continue;
    bounds.push_back({.scale = text_of(*entry, "scale"),
                      .question = text_of(*entry, "question"),
                      .load = text_of(*entry, "load"),
                      .way = text_of(*entry, "way"),
                      .against = text_of(*entry, "against"),
                      .figure = text_of(*entry, "figure"),
                      .most = (*entry)["most"].value_or(0.0)});
  }
  return bounds;
}

double figure_of(const policy_outcome& outcome, const std::string& figure) {
  if (figure == "cold_p99") return outcome.cold_p99;
  if (figure == "all_p95") return outcome.all_p95;
  if (figure == "cold_share") return outcome.cold_share;
  if (figure == "idle_hours") return outcome.idle_hours;
  if (figure == "weighted") return outcome.weighted;
  if (figure == "missed_share") return outcome.missed_share;
  if (figure == "loads") return static_cast<double>(outcome.loads);
  if (figure == "in_one_domain") {
    return static_cast<double>(outcome.in_one_domain);
  }
  return no_figure;
}

std::vector<bound_verdict> check_bounds(const std::vector<policy_bound>& bounds,
                                        const std::vector<policy_case>& cases) {
  std::vector<bound_verdict> verdicts;
  verdicts.reserve(bounds.size());
  for (const policy_bound& bound : bounds) {
    verdicts.push_back(judge(bound, cases));
  }
  return verdicts;
}

}  // namespace boragehill::bench
