#ifndef BORAGEHILL_WIRE_FIELD_CODEC_HPP
#define BORAGEHILL_WIRE_FIELD_CODEC_HPP

#include <cstdint>
#include <json/json.h>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <vector>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>
#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

#include "kernel/utf8.hpp"

namespace boragehill::wire {

/// How a value type names its members to the codec. Messages bring their own
/// `each_field`; types of include/ are named in wire/row_fields.hpp.
template <class Message>
struct fields_of {
  template <class Self, class Visit>
  static void visit(Self& self, Visit&& take) {
    Message::each_field(self, take);
  }
};

template <class Message>
Json::Value to_json(const Message& message);

namespace detail {

template <class Value>
constexpr bool is_vector = false;
template <class Item>
inline constexpr bool is_vector<std::vector<Item>> = true;
template <class Value>
constexpr bool is_map = false;
template <class Item>
inline constexpr bool is_map<std::map<std::string, Item>> = true;

template <class Value>
Json::Value write_value(const Value& value) {
  if constexpr (std::is_same_v<Value, endpoint>) {
    return value.port == 0 ? std::string{} : value.to_string();
  } else if constexpr (std::is_same_v<Value, milliseconds>) {
    return static_cast<Json::Int64>(value.count());
  } else if constexpr (std::is_enum_v<Value>) {
    return static_cast<int>(value);
  } else if constexpr (std::is_same_v<Value, std::uint64_t>) {
    return static_cast<Json::UInt64>(value);
  } else if constexpr (std::is_same_v<Value, std::int64_t>) {
    return static_cast<Json::Int64>(value);
  } else if constexpr (std::is_arithmetic_v<Value> ||
                       std::is_same_v<Value, std::string>) {
    return value;
  } else if constexpr (is_vector<Value>) {
    Json::Value list(Json::arrayValue);
    for (const auto& item : value) list.append(write_value(item));
    return list;
  } else if constexpr (is_map<Value>) {
    Json::Value object(Json::objectValue);
    for (const auto& [key, item] : value) object[key] = write_value(item);
    return object;
  } else {
    return to_json(value);
  }
}

template <class Value>
bool read_value(const Json::Value& json, Value& value);

template <class Number>
bool read_integer(const Json::Value& json, Number& number) {
  if (json.isBool()) return false;
  if constexpr (std::is_unsigned_v<Number>) {
    if (!json.isUInt64()) return false;
    const std::uint64_t wide = json.asUInt64();
    if (wide > std::numeric_limits<Number>::max()) return false;
    number = static_cast<Number>(wide);
  } else {
    if (!json.isInt64()) return false;
    const std::int64_t wide = json.asInt64();
    if (wide > std::numeric_limits<Number>::max()) return false;
    if (wide < std::numeric_limits<Number>::min()) return false;
    number = static_cast<Number>(wide);
  }
  return true;
}

inline bool read_endpoint(const Json::Value& json, endpoint& value) {
  if (!json.isString()) return false;
  if (json.asString().empty()) return true;
  const auto parsed = endpoint::parse(json.asString());
  // Nobody listens on port 0; read as an address it was written back as none.
  if (!parsed || parsed->port == 0) return false;
  value = *parsed;
  return true;
}

template <class Item>
bool read_list(const Json::Value& json, std::vector<Item>& list) {
  if (!json.isArray()) return false;
  list.resize(json.size());
  for (Json::ArrayIndex i = 0; i < json.size(); ++i) {
    if (!read_value(json[i], list[i])) return false;
  }
  return true;
}

template <class Item>
bool read_object(const Json::Value& json, std::map<std::string, Item>& map) {
  if (!json.isObject()) return false;
  for (const auto& name : json.getMemberNames()) {
    if (!kernel::is_utf8(name)) return false;
    if (!read_value(json[name], map[name])) return false;
  }
  return true;
}

template <class Value>
bool read_fields(const Json::Value& json, Value& value) {
  if (!json.isObject()) return false;
  bool whole = true;
  fields_of<Value>::visit(value, [&](const char* name, auto& member) {
    const Json::Value* found =
        json.find(name, name + std::char_traits<char>::length(name));
    if (found != nullptr) whole = read_value(*found, member) && whole;
  });
  return whole;
}

template <class Value>
bool read_value(const Json::Value& json, Value& value) {
  if constexpr (std::is_same_v<Value, bool>) {
    if (!json.isBool()) return false;
    value = json.asBool();
    return true;
  } else if constexpr (std::is_same_v<Value, std::string>) {
    // Other bytes would be written back as other text: two names that differ
    // could become one.
    if (!json.isString() || !kernel::is_utf8(json.asString())) return false;
    value = json.asString();
    return true;
  } else if constexpr (std::is_same_v<Value, endpoint>) {
    return read_endpoint(json, value);
  } else if constexpr (std::is_same_v<Value, milliseconds>) {
    std::int64_t count = 0;
    if (!read_integer(json, count)) return false;
    value = milliseconds(count);
    return true;
  } else if constexpr (std::is_enum_v<Value>) {
    int number = 0;
    if (!read_integer(json, number)) return false;
    value = static_cast<Value>(number);
    return true;
  } else if constexpr (std::is_floating_point_v<Value>) {
    if (!json.isNumeric()) return false;
    value = json.asDouble();
    return true;
  } else if constexpr (std::is_integral_v<Value>) {
    return read_integer(json, value);
  } else if constexpr (is_vector<Value>) {
    return read_list(json, value);
  } else if constexpr (is_map<Value>) {
    return read_object(json, value);
  } else {
    return read_fields(json, value);
  }
}

}  // namespace detail

/// Returns the message as a JSON object, one member a field.
template <class Message>
Json::Value to_json(const Message& message) {
  Json::Value json(Json::objectValue);
  fields_of<Message>::visit(message, [&](const char* name, const auto& member) {
    json[name] = detail::write_value(member);
  });
  return json;
}

/// Reads a message. A field that is missing keeps its default, so processes of
/// two versions understand each other; one of a wrong type is an error.
///
/// \param json The object.
/// \return The message. Errors: frame_garbled.
template <class Message>
result<Message> from_json(const Json::Value& json) {
  Message message;
  if (!detail::read_fields(json, message)) {
    return make_error_code(result_code::frame_garbled);
  }
  return message;
}

/// Returns the message as one line of JSON text, for a table row.
template <class Message>
std::string to_text(const Message& message) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, to_json(message));
}

/// Reads a message from JSON text. Errors: frame_garbled.
template <class Message>
result<Message> from_text(const std::string& text) {
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value json;
  const char* begin = text.data();
  if (!reader->parse(begin, begin + text.size(), &json, nullptr)) {
    return make_error_code(result_code::frame_garbled);
  }
  return from_json<Message>(json);
}

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_FIELD_CODEC_HPP
