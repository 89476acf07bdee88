// Bytes from an agent, in pieces of any size: never a crash, and the same
// frames however the bytes are split.

#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "wire/answer_frame.hpp"
#include "wire/answer_frame_decoder.hpp"

namespace {

using boragehill::wire::answer_frame;
using boragehill::wire::answer_frame_decoder;

std::vector<answer_frame> decode(std::string_view bytes, std::size_t step) {
  std::vector<answer_frame> frames;
  answer_frame_decoder decoder;
  while (!bytes.empty()) {
    const auto part = bytes.substr(0, step);
    bytes.remove_prefix(part.size());
    const auto fed = decoder.feed(part, [&](answer_frame&& frame) {
      frames.push_back(std::move(frame));
      return true;
    });
    if (!fed) break;
  }
  return frames;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto whole = decode(bytes, size + 1);
  const auto split = decode(bytes, 1);
  if (whole != split) std::abort();
  return 0;
}
