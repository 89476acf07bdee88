#ifndef BORAGEHILL_ROUTER_ANSWER_COLLECTOR_HPP
#define BORAGEHILL_ROUTER_ANSWER_COLLECTOR_HPP

#include <optional>
#include <string_view>

#include "router/whole_answer.hpp"
#include "wire/answer_digest.hpp"
#include "wire/answer_frame.hpp"
#include "wire/answer_frame_decoder.hpp"

namespace boragehill::router {

/// Puts an answer together from its frames and gives it out only if it is
/// whole.
class answer_collector {
 public:
  /// Takes the next bytes of the frames.
  ///
  /// \return False if they are garbled; nothing more is to be read then.
  bool feed(std::string_view bytes);

  /// Takes the next frame.
  void take(const wire::answer_frame& frame);

  /// Returns what came so far, for a caller that checked the whole itself.
  const whole_answer& so_far() const { return this->answer; }

  /// Returns the answer; nothing unless its end frame matched.
  std::optional<whole_answer> whole() const;

 private:
  wire::answer_frame_decoder decoder;
  wire::answer_digest digest;
  whole_answer answer;
  bool is_whole = false;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_ANSWER_COLLECTOR_HPP
