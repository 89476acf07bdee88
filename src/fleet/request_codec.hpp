#ifndef BORAGEHILL_FLEET_REQUEST_CODEC_HPP
#define BORAGEHILL_FLEET_REQUEST_CODEC_HPP

#include <string>

#include <boragehill/result.hpp>

#include "fleet/answer_fields.hpp"
#include "fleet/request_fields.hpp"
#include "fleet/send_fields.hpp"
#include "fleet/worker_report.hpp"
#include "http/header_list.hpp"

namespace boragehill::fleet {

/// Translates between the headers on the wire and typed fields.
class request_codec {
 public:
  request_codec() = default;
  request_codec(const request_codec&) = delete;
  request_codec& operator=(const request_codec&) = delete;
  virtual ~request_codec() = default;

  /// Reads a caller's request.
  /// \return `bad_deadline` or `bad_header` for values that make no sense.
  virtual result<request_fields> read_request(
      const http::header_list& headers) const = 0;

  /// Makes the headers for a worker from a caller's: without those that
  /// concern one connection or are the system's to set, with `fields`.
  virtual http::header_list forwarded(const http::header_list& headers,
                                      const send_fields& fields) const = 0;

  /// Reads the head of a worker's answer.
  virtual answer_fields read_answer(int status,
                                    const http::header_list& headers) const = 0;

  /// \param answered What an answer says of its server.
  /// \return True if that may be this lifetime. Answers don't tell when their
  ///     server started, so a later lifetime under the same id passes, too.
  virtual bool is_server(const std::string& answered,
                         const std::string& lifetime) const = 0;

  /// \return The target of a call that a model worker answers with its report,
  ///     without a slot.
  virtual std::string report_target() const = 0;

  /// Reads such an answer.
  virtual result<worker_report> read_report(const std::string& body) const = 0;

  /// Adds the caller's attempt to an answer that the system makes itself.
  virtual void name_attempt(http::header_list& headers,
                            const request_fields& request) const = 0;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_REQUEST_CODEC_HPP
