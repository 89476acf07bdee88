// Bytes from the platform's store, from workers and from callers: never a
// crash, whatever they hold.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <glog/logging.h>
#include <string>

#include "http/event_splitter.hpp"
#include "http/message_parser.hpp"
#include "kernel/json_text.hpp"
#include "platform/catalog_decoder.hpp"
#include "platform/planner_row_codec.hpp"
#include "platform/quarantine_row_codec.hpp"
#include "platform/row_codec.hpp"
#include "platform/server_book.hpp"
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

/// Rows of many writers, cut from one input at line ends.
void read_entries(const std::string& text) {
  boragehill::platform::row_batch batch{.version = 1};
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const auto end = std::min(text.find('\n', begin), text.size());
    const auto line = text.substr(begin, end - begin);
    batch.rows.push_back({.table = "servers",
                          .key = line.substr(0, 4),
                          .value = line,
                          .version = static_cast<std::int64_t>(begin)});
    begin = end + 1;
  }
  batch.rows.push_back({.table = "servers",
                        .key = "i-good",
                        .value = R"({"service":"s","addr":"10.9.8.7:1",
      "zone":"z","slots":8,"seq":0,"state":"ready","born":1})",
                        .version = std::int64_t{1} << 40});
  boragehill::platform::server_book book;
  const boragehill::time_point now{std::chrono::seconds(100)};
  book.set_reached(true, now);
  book.apply(batch, true, now);
  // Whatever the others hold, a good entry stands.
  if (!book.list().servers.contains("i-good@1")) std::abort();
}

// Each refused entry is a line of the log: millions here.
extern "C" int LLVMFuzzerInitialize(int*, char***) {
  FLAGS_minloglevel = google::GLOG_FATAL;
  return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  (void)boragehill::platform::decode_catalog(text);
  (void)boragehill::platform::decode_server("i-1", text);
  (void)boragehill::platform::decode_report(text);
  (void)boragehill::platform::decode_rows(text);
  (void)boragehill::platform::decode_planner(text, {1, 1});
  (void)boragehill::platform::decode_quarantine(text, 1);
  read_entries(text);
  read_message(boragehill::http::message_kind::request, text);
  read_message(boragehill::http::message_kind::answer, text);
  read_planner_message(text);
  boragehill::http::event_splitter events;
  (void)events.feed(text);
  return 0;
}
