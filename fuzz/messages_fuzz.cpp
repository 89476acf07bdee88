// JSON text from a peer or a table row: never a crash, and what was read is
// written and read back the same.

#include <cstdint>
#include <cstdlib>
#include <string>

#include "decide/idempotency_record.hpp"
#include "wire/agent_report.hpp"
#include "wire/attempts_done.hpp"
#include "wire/field_codec.hpp"
#include "wire/peer_heartbeat.hpp"
#include "wire/permit_answer.hpp"
#include "wire/permit_request.hpp"
#include "wire/row_fields.hpp"
#include "wire/wake_order.hpp"

namespace {

using boragehill::wire::from_text;
using boragehill::wire::to_text;

template <class Message>
void round_trip(const std::string& text) {
  const auto read = from_text<Message>(text);
  if (!read) return;
  const auto again = from_text<Message>(to_text(read.value()));
  if (!again || !(again.value() == read.value())) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  round_trip<boragehill::wire::permit_request>(text);
  round_trip<boragehill::wire::permit_answer>(text);
  round_trip<boragehill::wire::agent_report>(text);
  round_trip<boragehill::wire::attempts_done>(text);
  round_trip<boragehill::wire::peer_heartbeat>(text);
  round_trip<boragehill::wire::wake_order>(text);
  round_trip<boragehill::decide::idempotency_record>(text);
  round_trip<boragehill::server_record>(text);
  round_trip<boragehill::profile>(text);
  return 0;
}
