#include "kernel/text_escape.hpp"

namespace boragehill::kernel::detail {

namespace {

constexpr char delete_character = 0x7f;

bool is_control(char letter) {
  return static_cast<unsigned char>(letter) < 0x20 ||
         letter == delete_character;
}

void append_control(std::string& out, char letter) {
  constexpr std::string_view alphabet = "0123456789abcdef";
  out += "\\u00";
  out += alphabet[static_cast<unsigned char>(letter) >> 4];
  out += alphabet[static_cast<unsigned char>(letter) & 0xf];
}

}  // namespace

std::string escape_text(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (const char letter : text) {
    if (is_control(letter)) {
      append_control(out, letter);
      continue;
    }
    if (letter == '"' || letter == '\\') out += '\\';
    out += letter;
  }
  return out;
}

}  // namespace boragehill::kernel::detail
