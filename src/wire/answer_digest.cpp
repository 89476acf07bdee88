#include "wire/answer_digest.hpp"

#include <xxhash.h>

namespace boragehill::wire {

answer_digest::answer_digest() : state(XXH64_createState()) {
  XXH64_reset(this->state.get(), 0);
}

void answer_digest::add(std::string_view bytes) {
  XXH64_update(this->state.get(), bytes.data(), bytes.size());
  this->length += bytes.size();
}

frame_end answer_digest::end() const {
  return {.length = this->length, .checksum = XXH64_digest(this->state.get())};
}

bool answer_digest::matches(const frame_end& other) const {
  return this->end() == other;
}

void answer_digest::free_state::operator()(
    XXH64_state_s* state) const noexcept {
  XXH64_freeState(state);
}

}  // namespace boragehill::wire
