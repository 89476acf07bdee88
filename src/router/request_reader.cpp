#include "router/request_reader.hpp"

#include <algorithm>
#include <charconv>
#include <httplib.h>
#include <json/json.h>

#include <boragehill/model_ref.hpp>
#include <boragehill/profile.hpp>

#include "decide/catalog.hpp"
#include "decide/target_name.hpp"
#include "kernel/fingerprint.hpp"

namespace boragehill::router {

namespace {

constexpr std::size_t longest_header = 1024;
constexpr std::int64_t longest_deadline_ms = std::int64_t{24} * 3600 * 1000;

/// Headers that steer boragehill: each at most once and not over-long, since
/// two of them would leave it to chance which one counts.
constexpr std::array steering_headers{"X-Service", "X-Deadline-Ms",
                                      "Idempotency-Key", "traceparent",
                                      "X-Priority"};

refusal refuse(result_code code, std::string message) {
  return {code, ran_state::no, milliseconds{0}, std::move(message)};
}

/// A key of other bytes could not be written into a row's key as it is, so two
/// callers' keys might become one.
bool is_printable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

std::optional<refusal> check_headers(const httplib::Request& raw) {
  for (const char* name : steering_headers) {
    if (raw.get_header_value_count(name) > 1) {
      return refuse(result_code::bad_header,
                    std::string(name) + " was sent more than once");
    }
    if (!is_printable(raw.get_header_value(name))) {
      return refuse(result_code::bad_header,
                    std::string(name) + " holds other than printable ASCII");
    }
    if (raw.get_header_value(name).size() > longest_header) {
      return refuse(result_code::bad_header,
                    std::string(name) + " is too long");
    }
  }
  return std::nullopt;
}

template <class Number>
bool parse_number(const std::string& text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc{} && stop == end;
}

std::string hash_of(const accepted_request& request) {
  return kernel::fingerprint_of({request.service, request.target,
                                 request.adapter, request.method, request.path,
                                 request.body});
}

std::optional<refusal> read_deadline(const httplib::Request& raw,
                                     const profile& owner,
                                     milliseconds fallback,
                                     accepted_request& request) {
  milliseconds wait = std::min(fallback, owner.max_wait);
  if (raw.has_header("X-Deadline-Ms")) {
    std::int64_t asked = 0;
    const bool read =
        parse_number(raw.get_header_value("X-Deadline-Ms"), asked);
    if (!read || asked <= 0 || asked > longest_deadline_ms) {
      return refuse(result_code::bad_deadline,
                    "X-Deadline-Ms is not between 1 and 86400000");
    }
    wait = std::min(milliseconds(asked), owner.max_wait);
  }
  request.deadline = request.accepted_at + wait;
  return std::nullopt;
}

std::optional<refusal> read_common(const httplib::Request& raw,
                                   const decide::catalog& published,
                                   milliseconds fallback, time_point now,
                                   accepted_request& request,
                                   const profile*& owner) {
  if (auto bad = check_headers(raw)) return bad;
  request.service = raw.get_header_value("X-Service");
  owner = published.profile_of(request.service);
  if (owner == nullptr) {
    return refuse(result_code::unknown_service,
                  "no profile names the service \"" + request.service + "\"");
  }
  request.profile = owner->name;
  request.method = raw.method;
  request.content_type = raw.get_header_value("Content-Type");
  request.idempotency_key = raw.get_header_value("Idempotency-Key");
  request.trace =
      kernel::trace_context::parse(raw.get_header_value("traceparent"));
  request.priority = owner->priority;
  request.accepted_at = now;
  return read_deadline(raw, *owner, fallback, request);
}

/// Returns the path and query below the pool as the caller escaped them:
/// unescaped, "%3F" in a file's name would begin a query at the backend server.
///
/// \return Nothing if the pool's own name is escaped, since then it can't be
///   told where the rest begins.
std::optional<std::string> path_below(const std::string& pool,
                                      const httplib::Request& raw) {
  const std::string prefix = "/services/" + pool;
  if (!raw.target.starts_with(prefix)) return std::nullopt;
  const std::string rest = raw.target.substr(prefix.size());
  if (rest.empty() || rest.front() == '?') return "/" + rest;
  if (rest.front() != '/') return std::nullopt;
  return rest;
}

}  // namespace

std::variant<accepted_request, refusal> request_reader::read_model_call(
    const httplib::Request& raw, const decide::catalog& published,
    time_point now) const {
  accepted_request request;
  const profile* owner = nullptr;
  if (auto bad = read_common(raw, published, this->default_deadline, now,
                             request, owner)) {
    return *bad;
  }
  // Strict, since the engine parses the body again: of two "model" members it
  // might run the one that was not checked here.
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value body;
  bool parsed = false;
  try {
    const char* begin = raw.body.data();
    parsed = reader->parse(begin, begin + raw.body.size(), &body, nullptr);
  } catch (const Json::Exception&) {
    // Thrown for JSON nested deeper than the stack limit.
    parsed = false;
  }
  if (!parsed || !body.isObject() || !body["model"].isString()) {
    return refuse(result_code::malformed_request,
                  "the body is not a JSON object with a \"model\"");
  }
  if (!body["stream"].isNull() && !body["stream"].isBool()) {
    return refuse(result_code::malformed_request,
                  "\"stream\" is not a boolean");
  }
  const auto model = model_ref::parse(body["model"].asString());
  if (!decide::allows_model(*owner, model.base, model.adapter)) {
    return refuse(result_code::unknown_model,
                  "profile " + owner->name + " does not allow the model \"" +
                      body["model"].asString() + "\"");
  }
  request.target = decide::model_target(model.base);
  request.adapter = model.adapter;
  request.path = raw.path;
  request.body = raw.body;
  request.streamed = body["stream"].asBool();
  request.non_idempotent =
      decide::is_non_idempotent(*owner, raw.method, raw.path);
  request.fingerprint = hash_of(request);
  return request;
}

std::variant<accepted_request, refusal> request_reader::read_service_call(
    const httplib::Request& raw, const decide::catalog& published,
    time_point now) const {
  accepted_request request;
  const profile* owner = nullptr;
  if (auto bad = read_common(raw, published, this->default_deadline, now,
                             request, owner)) {
    return *bad;
  }
  const std::string pool = raw.matches[1];
  const std::string path = raw.matches[2];
  if (!decide::allows_pool(*owner, pool)) {
    return refuse(
        result_code::unknown_path,
        "profile " + owner->name + " does not allow the pool \"" + pool + "\"");
  }
  const auto below = path_below(pool, raw);
  if (!below) {
    return refuse(result_code::unknown_path, "the pool's name is escaped");
  }
  request.target = decide::pool_target(pool);
  request.path = *below;
  request.body = raw.body;
  request.non_idempotent =
      decide::is_non_idempotent(*owner, raw.method, path.empty() ? "/" : path);
  request.fingerprint = hash_of(request);
  return request;
}

}  // namespace boragehill::router
