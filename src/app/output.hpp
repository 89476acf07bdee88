#ifndef BORAGEHILL_APP_OUTPUT_HPP
#define BORAGEHILL_APP_OUTPUT_HPP

#include <json/value.h>
#include <string>
#include <vector>

namespace boragehill::app {

/// Returns whether `--output json` was given.
bool wants_json();

/// Prints JSON on standard output.
void print_json(const Json::Value& json);

/// Prints rows as aligned columns; the first row is the heading.
void print_table(const std::vector<std::vector<std::string>>& rows);

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_OUTPUT_HPP
