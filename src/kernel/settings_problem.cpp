#include "kernel/settings_problem.hpp"

namespace boragehill::kernel {

std::string settings_problem::to_string() const {
  std::string text = this->file;
  if (this->line > 0) text += ':' + std::to_string(this->line);
  if (!this->key.empty()) text += ": " + this->key;
  text += ": " + this->message + " (";
  text += std::to_string(static_cast<int>(this->code)) + ' ';
  text += name_of(this->code);
  return text + ')';
}

}  // namespace boragehill::kernel
