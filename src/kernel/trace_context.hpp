#ifndef BORAGEHILL_KERNEL_TRACE_CONTEXT_HPP
#define BORAGEHILL_KERNEL_TRACE_CONTEXT_HPP

#include <optional>
#include <string>
#include <string_view>

namespace boragehill::kernel {

/// A place in a trace, as W3C Trace Context carries it between processes.
struct trace_context {
  /// 32 lower-case hexadecimal digits, not all zero.
  std::string trace_id;
  /// 16 lower-case hexadecimal digits, not all zero.
  std::string span_id;
  bool sampled = true;

  bool operator==(const trace_context&) const = default;

  /// \return The `traceparent` header's value.
  std::string to_string() const;

  /// \return A new span in the same trace.
  trace_context child() const;

  /// \return A new trace, sampled.
  static trace_context fresh();

  /// \param header A `traceparent` header's value.
  /// \return The context, or nothing if the header isn't valid.
  static std::optional<trace_context> parse(std::string_view header);
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_TRACE_CONTEXT_HPP
