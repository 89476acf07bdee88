#ifndef BORAGEHILL_ROUTER_LIVE_ANSWER_HPP
#define BORAGEHILL_ROUTER_LIVE_ANSWER_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boragehill/refusal.hpp>

#include "decide/attempt_result.hpp"

namespace boragehill::router {

class attempt_call;

/// A streamed answer whose head has arrived; its pieces follow as the backend
/// server makes them.
class live_answer {
 public:
  /// \param call The attempt, its head already taken.
  /// \param type The head's content type.
  /// \param on_end Told once how the attempt ended.
  live_answer(std::unique_ptr<attempt_call> call, std::string type,
              std::function<void(const decide::attempt_result&)> on_end);
  ~live_answer();

  const std::string& content_type() const { return this->type; }

  /// Passes every further piece on.
  ///
  /// \param write Takes bytes; false once the caller is gone.
  /// \return How it ended: whole, broken or caller_gone.
  decide::attempt_result pump(
      const std::function<bool(std::string_view)>& write);

 private:
  void finish(const decide::attempt_result& result);

  std::unique_ptr<attempt_call> call;
  std::string type;
  std::function<void(const decide::attempt_result&)> on_end;
  bool ended = false;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_LIVE_ANSWER_HPP
