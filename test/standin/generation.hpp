#ifndef BORAGEHILL_STANDIN_GENERATION_HPP
#define BORAGEHILL_STANDIN_GENERATION_HPP

#include <cstdint>
#include <json/json.h>
#include <memory>
#include <string>

namespace boragehill::standin {

/// One request that an engine stand-in generates an answer to.
struct generation {
  std::string model;
  std::string body;
  std::uint32_t tokens = 0;
  bool is_chat = false;
  /// Half of its stream is cut off.
  bool is_cut = false;
  std::uint64_t ticket = 0;
  /// Gives the slot back when the last copy goes.
  std::shared_ptr<void> slot;
};

/// Returns the whole answer as JSON.
Json::Value whole_answer(const generation& made);

/// Returns one event of the streamed answer: token `index`, or the closing
/// events if that is past the last token.
std::string stream_event(const generation& made, std::uint32_t index);

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_GENERATION_HPP
