#ifndef BORAGEHILL_WIRE_ANSWER_DIGEST_HPP
#define BORAGEHILL_WIRE_ANSWER_DIGEST_HPP

#include <cstdint>
#include <memory>
#include <string_view>

#include "wire/answer_frame.hpp"

struct XXH64_state_s;

namespace boragehill::wire {

/// The running length and XXH64 of an answer's body; both ends keep one.
class answer_digest {
 public:
  answer_digest();

  /// Adds the bytes of the next piece.
  void add(std::string_view bytes);

  /// \return The end frame for the bytes so far.
  frame_end end() const;

  /// \return True if the end frame belongs to exactly the bytes so far.
  bool matches(const frame_end& other) const;

 private:
  struct free_state {
    void operator()(XXH64_state_s* state) const noexcept;
  };

  std::unique_ptr<XXH64_state_s, free_state> state;
  std::uint64_t length = 0;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ANSWER_DIGEST_HPP
