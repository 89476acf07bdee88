#ifndef BORAGEHILL_KERNEL_TRACER_HPP
#define BORAGEHILL_KERNEL_TRACER_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <opentracing/tracer.h>

#include "kernel/duty.hpp"
#include "kernel/span_record.hpp"
#include "kernel/span_recorder.hpp"

namespace boragehill::kernel {

/// The OpenTracing tracer of a process. Finished spans pass through a bounded
/// ring to one thread that records them; when it is full they are dropped and
/// counted, so that tracing never holds a request up.
class tracer final : public opentracing::Tracer {
 public:
  /// \param recorder Where finished spans go.
  /// \param capacity The most finished spans waiting to be recorded.
  explicit tracer(std::unique_ptr<span_recorder> recorder,
                  std::size_t capacity = 4096);

  /// Records what is waiting, then stops. Idempotent.
  void stop();

  /// \return How many spans were dropped because the ring was full.
  std::uint64_t dropped() const;

  /// Hands a finished span over; called by spans.
  void submit(span_record finished) const noexcept;

  std::unique_ptr<opentracing::Span> StartSpanWithOptions(
      opentracing::string_view name,
      const opentracing::StartSpanOptions& options) const noexcept override;

  using opentracing::Tracer::Extract;
  using opentracing::Tracer::Inject;

  /// Binary propagation isn't supported; W3C `traceparent` text is.
  opentracing::expected<void> Inject(const opentracing::SpanContext& context,
                                     std::ostream& writer) const override;
  opentracing::expected<void> Inject(
      const opentracing::SpanContext& context,
      const opentracing::TextMapWriter& writer) const override;
  opentracing::expected<void> Inject(
      const opentracing::SpanContext& context,
      const opentracing::HTTPHeadersWriter& writer) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      std::istream& reader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::TextMapReader& reader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::HTTPHeadersReader& reader) const override;

 private:
  std::unique_ptr<span_recorder> recorder;
  mutable std::atomic<std::uint64_t> lost{0};
  mutable duty<span_record> writer;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_TRACER_HPP
