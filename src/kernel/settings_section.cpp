#include "kernel/settings_section.hpp"

#include <cmath>
#include <utility>

#include "kernel/settings_state.hpp"

namespace boragehill::kernel {

namespace {

using detail::settings_state;

/// One read of one key, with what it needs to report.
struct key_read {
  settings_state& state;
  std::size_t index;
  std::string_view key;

  void report(result_code code, std::string message) const {
    this->state.report(this->index, this->key, code, std::move(message));
  }

  void wrong_type(std::string_view expected) const {
    this->report(result_code::settings_wrong_type,
                 "expected " + std::string(expected));
  }

  /// Takes the key's value by `convert`, which gives nothing if it doesn't
  /// fit; a missing key gives the fallback or is reported.
  template <class Value, class Convert>
  Value take(const std::optional<Value>& fallback, std::string_view expected,
             Convert convert) const {
    const toml::node* node = this->state.read(this->index, this->key);
    if (!node) {
      if (fallback) return *fallback;
      this->report(result_code::settings_missing_key, "missing");
      return Value{};
    }
    const std::optional<Value> value = convert(*node);
    if (value) return *value;
    this->wrong_type(expected);
    return fallback.value_or(Value{});
  }

  /// Reports a value outside of [min, max].
  template <class Value>
  Value within(Value value, Value min, Value max) const {
    if (value >= min && value <= max) return value;
    this->report(result_code::settings_out_of_range,
                 std::to_string(value) + " isn't within " +
                     std::to_string(min) + " to " + std::to_string(max));
    return min;
  }
};

std::optional<std::int64_t> to_integer(const toml::node& node) {
  return node.value_exact<std::int64_t>();
}

std::optional<std::string> to_text(const toml::node& node) {
  return node.value_exact<std::string>();
}

std::optional<double> to_real(const toml::node& node) {
  if (!node.is_number()) return std::nullopt;
  const std::optional<double> value = node.value<double>();
  return value && std::isfinite(*value) ? value : std::nullopt;
}

std::optional<std::vector<std::string>> to_texts(const toml::node& node) {
  const toml::array* array = node.as_array();
  if (!array) return std::nullopt;
  std::vector<std::string> all;
  for (const toml::node& each : *array) {
    const auto text = to_text(each);
    if (!text) return std::nullopt;
    all.push_back(*text);
  }
  return all;
}

}  // namespace

settings_section::settings_section(std::shared_ptr<settings_state> state,
                                   std::size_t index)
    : state(std::move(state)), index(index) {}

const std::string& settings_section::name() const {
  return this->state->at(this->index).name;
}

bool settings_section::present() const {
  return this->state->at(this->index).table != nullptr;
}

bool settings_section::has(std::string_view key) const {
  const toml::table* table = this->state->at(this->index).table;
  return table && table->contains(key);
}

std::string settings_section::text(std::string_view key,
                                   const std::optional<std::string>& fallback) {
  const key_read read{*this->state, this->index, key};
  const std::string* raw = this->state->override_of(this->index, key);
  return read.take<std::string>(fallback, "a string",
                                [raw](const toml::node& node) {
                                  // The command line may say key=5 for the
                                  // string "5".
                                  if (raw && !node.is_string())
                                    return std::optional<std::string>(*raw);
                                  return to_text(node);
                                });
}

std::int64_t settings_section::number(std::string_view key,
                                      std::optional<std::int64_t> fallback,
                                      std::int64_t min, std::int64_t max) {
  const key_read read{*this->state, this->index, key};
  return read.take(fallback, "an integer", [&](const toml::node& node) {
    auto value = to_integer(node);
    if (value) value = read.within(*value, min, max);
    return value;
  });
}

milliseconds settings_section::duration(std::string_view key,
                                        std::optional<milliseconds> fallback,
                                        milliseconds min, milliseconds max) {
  std::optional<std::int64_t> count;
  if (fallback) count = fallback->count();
  return milliseconds(this->number(key, count, min.count(), max.count()));
}

double settings_section::real(std::string_view key,
                              std::optional<double> fallback, double min,
                              double max) {
  const key_read read{*this->state, this->index, key};
  return read.take(fallback, "a finite number", [&](const toml::node& node) {
    auto value = to_real(node);
    if (value) value = read.within(*value, min, max);
    return value;
  });
}

bool settings_section::flag(std::string_view key,
                            std::optional<bool> fallback) {
  const key_read read{*this->state, this->index, key};
  return read.take(fallback, "true or false", [](const toml::node& node) {
    return node.value_exact<bool>();
  });
}

endpoint settings_section::address(std::string_view key,
                                   const std::optional<endpoint>& fallback) {
  const key_read read{*this->state, this->index, key};
  return read.take(fallback, "\"IP:port\"", [](const toml::node& node) {
    const auto text = to_text(node);
    return text ? endpoint::parse(*text) : std::nullopt;
  });
}

std::vector<std::string> settings_section::texts(
    std::string_view key,
    const std::optional<std::vector<std::string>>& fallback) {
  const key_read read{*this->state, this->index, key};
  return read.take(fallback, "an array of strings", to_texts);
}

void settings_section::report(result_code code, std::string_view key,
                              std::string message) {
  this->state->report(this->index, key, code, std::move(message));
}

}  // namespace boragehill::kernel
