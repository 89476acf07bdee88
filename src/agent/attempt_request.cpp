#include "agent/attempt_request.hpp"

#include <charconv>
#include <httplib.h>
#include <optional>

#include <boragehill/result_code.hpp>

namespace boragehill::agent {

namespace {

/// Keeps header numbers far from the clock's overflow.
constexpr std::int64_t longest_ms = std::int64_t{1} << 42;

template <class Number>
std::optional<Number> number_in(const httplib::Request& request,
                                const char* header) {
  const std::string text = request.get_header_value(header);
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return number;
}

std::optional<std::int64_t> ms_in(const httplib::Request& request,
                                  const char* header) {
  const auto number = number_in<std::int64_t>(request, header);
  if (!number || *number < 0 || *number > longest_ms) return std::nullopt;
  return number;
}

}  // namespace

time_point time_of_ms(std::int64_t milliseconds_on_clock) {
  return time_point(milliseconds(milliseconds_on_clock));
}

result<attempt_request> read_attempt(const httplib::Request& request) {
  const auto id =
      attempt_id::parse(request.get_header_value("Boragehill-Attempt"));
  const auto fence = number_in<std::uint64_t>(request, "Boragehill-Fence");
  const auto permit_end = ms_in(request, "Boragehill-Permit-End");
  const auto time_left = ms_in(request, "Boragehill-Time-Left-Ms");
  const auto target =
      attempt_target::parse(request.get_header_value("Boragehill-Target"),
                            request.get_header_value("Boragehill-Adapter"));
  const std::string method = request.get_header_value("Boragehill-Method");
  const std::string path = request.get_header_value("Boragehill-Path");
  if (!id || !fence || !permit_end || !time_left || !target) {
    return result_code::bad_header;
  }
  if (method.empty() || !path.starts_with('/')) return result_code::bad_header;
  return attempt_request{
      .offer = {.id = *id,
                .fence = *fence,
                .permit_end = time_of_ms(*permit_end),
                .exclusive =
                    request.get_header_value("Boragehill-Exclusive") == "1"},
      .target = *target,
      .non_idempotent =
          request.get_header_value("Boragehill-Non-Idempotent") == "1",
      .request = {
          .attempt = id->to_string(),
          .method = method,
          .target = path,
          .content_type = request.get_header_value("Content-Type"),
          .body = request.body,
          .traceparent = request.get_header_value("traceparent"),
          .idempotency_key = request.get_header_value("Idempotency-Key"),
          .priority = number_in<std::int64_t>(request, "Boragehill-Priority")
                          .value_or(0),
          .time_left = milliseconds(*time_left)}};
}

}  // namespace boragehill::agent
