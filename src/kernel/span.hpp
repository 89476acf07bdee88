#ifndef BORAGEHILL_KERNEL_SPAN_HPP
#define BORAGEHILL_KERNEL_SPAN_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/trace_context.hpp"

namespace opentracing {
inline namespace v3 {
class Span;
}
}  // namespace opentracing

namespace boragehill::kernel {

class tracer;

/// One hop of a request; it finishes when destroyed.
///
///     span hop(tracer, "dispatch", trace_context::parse(header));
///     hop.tag("server", server.to_string());
///     send(hop.context().to_string());
class span {
 public:
  /// \param owner Must outlive the span.
  /// \param name The hop's name.
  /// \param parent Where the caller stands; nothing starts a new trace.
  span(tracer& owner, const std::string& name,
       const std::optional<trace_context>& parent);
  ~span();

  span(const span&) = delete;
  span& operator=(const span&) = delete;

  /// Adds a key and value; the last one of a key counts.
  void tag(std::string_view key, std::string_view value);
  void tag(std::string_view key, std::int64_t value);

  /// \return This span's place, to send on.
  const trace_context& context() const;

 private:
  std::unique_ptr<opentracing::Span> inner;
  trace_context place;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_SPAN_HPP
