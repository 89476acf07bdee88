// Bytes from the platform's store, from workers and from callers: never a
// crash, whatever they hold.

#include <cstdint>
#include <string>

#include "http/event_splitter.hpp"
#include "http/message_parser.hpp"
#include "kernel/json_text.hpp"
#include "platform/catalog_decoder.hpp"
#include "platform/row_codec.hpp"
#include "platform/server_decoder.hpp"
#include "wire/planner_codec.hpp"

namespace {

void read_message(boragehill::http::message_kind kind,
                  const std::string& text) {
  constexpr std::size_t head_limit = 512;
  boragehill::http::message_parser parser(kind, head_limit);
  std::size_t begin = 0;
  while (begin < text.size() && !parser.failed()) {
    // In pieces, as they come from a socket.
    constexpr std::size_t piece = 7;
    begin += parser.feed(std::string_view(text).substr(begin, piece));
    (void)parser.take_body();
    if (parser.complete()) parser.next();
  }
  (void)parser.finish();
}

void read_planner_message(const std::string& text) {
  const auto message = boragehill::kernel::parse_json(text);
  if (!message || !message->isObject()) return;
  try {
    (void)boragehill::wire::decode_view_update(*message);
    (void)boragehill::wire::decode_worker_target(*message);
    (void)boragehill::wire::decode_worker_status(*message);
    (void)boragehill::wire::decode_router_report(*message);
  } catch (const Json::Exception&) {
    // A link ends on it.
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  (void)boragehill::platform::decode_catalog(text);
  (void)boragehill::platform::decode_server("i-1", text);
  (void)boragehill::platform::decode_report(text);
  (void)boragehill::platform::decode_rows(text);
  read_message(boragehill::http::message_kind::request, text);
  read_message(boragehill::http::message_kind::answer, text);
  read_planner_message(text);
  boragehill::http::event_splitter events;
  (void)events.feed(text);
  return 0;
}
