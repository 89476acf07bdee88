#ifndef BORAGEHILL_ANSWER_SINK_HPP
#define BORAGEHILL_ANSWER_SINK_HPP

#include <string>
#include <string_view>

namespace boragehill {

/// Takes an answer piece by piece, on the thread that runs the request.
class answer_sink {
 public:
  virtual ~answer_sink() = default;

  /// Takes the head, once, before any piece.
  ///
  /// \return False to cancel the request.
  virtual bool head(int status, const std::string& content_type) = 0;

  /// Takes the next bytes of the body.
  ///
  /// \return False to cancel the request.
  virtual bool piece(std::string_view bytes) = 0;
};

}  // namespace boragehill

#endif  // BORAGEHILL_ANSWER_SINK_HPP
