#ifndef BORAGEHILL_WIRE_ANSWER_FRAME_DECODER_HPP
#define BORAGEHILL_WIRE_ANSWER_FRAME_DECODER_HPP

#include <functional>
#include <string>
#include <string_view>

#include <boragehill/result.hpp>

#include "wire/answer_frame.hpp"

namespace boragehill::wire {

/// Cuts a stream of bytes into answer frames, however the bytes are split.
class answer_frame_decoder {
 public:
  /// Takes the next bytes and hands over every frame they complete.
  /// \param bytes The next bytes of the stream.
  /// \param take Gets each frame; returns false to stop. What follows the
  ///     frame it stopped at is dropped, so the stream ends there.
  /// \return `frame_garbled` or `frame_too_large`; then and after a stop,
  ///     the decoder takes nothing more.
  result<void> feed(std::string_view bytes,
                    const std::function<bool(answer_frame&&)>& take);

 private:
  std::string pending;
  bool stopped = false;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ANSWER_FRAME_DECODER_HPP
