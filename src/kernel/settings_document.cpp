#include "kernel/settings_document.hpp"

#include <fstream>
#include <iterator>
#include <utility>

#include "kernel/settings_state.hpp"

namespace boragehill::kernel {

settings_document::settings_document(
    std::shared_ptr<detail::settings_state> state)
    : state(std::move(state)) {}

settings_document settings_document::read_file(const std::string& path) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (file.is_open() && !file.bad()) return parse(text, path);
  auto state = std::make_shared<detail::settings_state>(path);
  state->fail(0, "can't read the file");
  return settings_document(std::move(state));
}

settings_document settings_document::parse(std::string_view text,
                                           std::string file) {
  auto state = std::make_shared<detail::settings_state>(std::move(file));
  state->parse(text);
  return settings_document(std::move(state));
}

void settings_document::override_value(std::string_view assignment) {
  this->state->override_value(assignment);
}

settings_section settings_document::section(std::string_view name) {
  return {this->state, this->state->open(name)};
}

std::vector<settings_section> settings_document::sections(
    std::string_view name) {
  std::vector<settings_section> all;
  for (const std::size_t index : this->state->open_all(name)) {
    all.emplace_back(this->state, index);
  }
  return all;
}

std::vector<settings_problem> settings_document::finish() {
  return this->state->finish();
}

}  // namespace boragehill::kernel
