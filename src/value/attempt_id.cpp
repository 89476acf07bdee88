#include <charconv>

#include <boragehill/attempt_id.hpp>

namespace boragehill {

namespace {

template <class Number>
bool read_number(std::string_view text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc{} && stop == end;
}

}  // namespace

std::string attempt_id::to_string() const {
  return this->incarnation + "." + std::to_string(this->sequence) + "." +
         std::to_string(this->number);
}

std::optional<attempt_id> attempt_id::parse(std::string_view text) {
  const auto last = text.rfind('.');
  if (last == std::string_view::npos || last == 0) return std::nullopt;
  const auto first = text.rfind('.', last - 1);
  if (first == std::string_view::npos || first == 0) return std::nullopt;
  attempt_id id;
  id.incarnation = std::string(text.substr(0, first));
  const auto sequence = text.substr(first + 1, last - first - 1);
  if (!read_number(sequence, id.sequence)) return std::nullopt;
  if (!read_number(text.substr(last + 1), id.number)) return std::nullopt;
  return id;
}

}  // namespace boragehill

std::size_t std::hash<boragehill::attempt_id>::operator()(
    const boragehill::attempt_id& id) const noexcept {
  constexpr std::size_t odd_multiplier = 0x9e3779b97f4a7c15ULL;
  const std::size_t name = std::hash<std::string>{}(id.incarnation);
  return (name ^ (id.sequence * odd_multiplier)) + id.number;
}
