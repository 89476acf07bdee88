#ifndef BORAGEHILL_KERNEL_JSON_TEXT_HPP
#define BORAGEHILL_KERNEL_JSON_TEXT_HPP

#include <json/json.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehill::kernel {

/// Reads a JSON text.
///
/// \return The value; nothing if the text is not JSON, is cut short or has
///   anything after its end.
inline std::optional<Json::Value> parse_json(std::string_view text) {
  Json::CharReaderBuilder builder;
  builder["failIfExtra"] = true;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    const char* begin = text.data();
    if (!reader->parse(begin, begin + text.size(), &value, nullptr)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    // The reader throws where the nesting passes its stack limit.
    return std::nullopt;
  }
  return value;
}

/// Writes a value as one line of JSON. Bytes from 0x80 stand as they are, so
/// strings that are not UTF-8 come back unchanged from `parse_json`.
inline std::string write_json(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

/// \return The texts of a list; none if it isn't there. An element of another
///     type throws `Json::Exception`.
inline std::vector<std::string> texts_of(const Json::Value& list) {
  std::vector<std::string> texts;
  for (const auto& each : list) texts.push_back(each.asString());
  return texts;
}

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_JSON_TEXT_HPP
