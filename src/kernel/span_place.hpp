#ifndef BORAGEHILL_KERNEL_SPAN_PLACE_HPP
#define BORAGEHILL_KERNEL_SPAN_PLACE_HPP

#include <functional>
#include <memory>
#include <opentracing/span.h>
#include <string>
#include <utility>

#include "kernel/trace_context.hpp"

namespace boragehill::kernel {

/// A `trace_context` as OpenTracing passes it around; carries no baggage.
class span_place final : public opentracing::SpanContext {
 public:
  explicit span_place(trace_context place) : place(std::move(place)) {}

  void ForeachBaggageItem(
      std::function<bool(const std::string&, const std::string&)>)
      const override {}

  std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override {
    return std::make_unique<span_place>(this->place);
  }

  std::string ToTraceID() const noexcept override {
    return this->place.trace_id;
  }

  std::string ToSpanID() const noexcept override { return this->place.span_id; }

  const trace_context place;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_SPAN_PLACE_HPP
