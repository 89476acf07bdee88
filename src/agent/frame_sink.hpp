#ifndef BORAGEHILL_AGENT_FRAME_SINK_HPP
#define BORAGEHILL_AGENT_FRAME_SINK_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include <boragehill/answer_sink.hpp>

#include "wire/answer_digest.hpp"
#include "wire/answer_frame.hpp"

namespace boragehill::agent {

/// Turns a backend server's answer into frames for the router, and keeps a
/// copy of them if asked.
class frame_sink : public answer_sink {
 public:
  /// Writes bytes to the router; false once it is gone.
  using writer = std::function<bool(std::string_view)>;

  /// \param write Where the frames go.
  /// \param keep_bytes The largest copy to keep; 0 keeps none.
  /// \param to_end Whether the answer is taken to its end even if the router
  ///   is gone, as for a non-idempotent request, which runs only once.
  frame_sink(writer write, std::size_t keep_bytes, bool to_end);

  bool head(int status, const std::string& content_type) override;
  bool piece(std::string_view bytes) override;

  /// Sends the end frame: the answer is whole.
  void end();
  /// Sends a failure in place of the end.
  void fail(const wire::frame_failure& failure);

  /// Returns whether the router took every frame.
  bool delivered() const { return this->router_there; }
  /// Returns the copy of all frames; empty if it grew too large.
  const std::string& copy() const { return this->kept; }

 private:
  bool send(const wire::answer_frame& frame);

  writer write;
  std::size_t keep_bytes;
  bool to_end;
  bool keeping;
  bool router_there = true;
  wire::answer_digest digest;
  std::string kept;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_FRAME_SINK_HPP
