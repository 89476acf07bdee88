#ifndef BORAGEHILL_KERNEL_TRACE_SPAN_HPP
#define BORAGEHILL_KERNEL_TRACE_SPAN_HPP

#include <map>
#include <mutex>
#include <opentracing/tracer.h>
#include <string>
#include <utility>
#include <vector>

#include "kernel/span_place.hpp"

namespace boragehill::kernel {

class tracer;

/// The OpenTracing span behind `span`. Keeps tags; baggage and logs are not
/// supported and dropped.
class trace_span final : public opentracing::Span {
 public:
  /// \param parent Null starts a new trace.
  trace_span(const kernel::tracer& owner, std::string name,
             const trace_context* parent,
             const opentracing::StartSpanOptions& options);
  ~trace_span() override;

  void FinishWithOptions(
      const opentracing::FinishSpanOptions& options) noexcept override;
  void SetOperationName(opentracing::string_view name) noexcept override;
  void SetTag(opentracing::string_view key,
              const opentracing::Value& value) noexcept override;
  const opentracing::SpanContext& context() const noexcept override;
  const opentracing::Tracer& tracer() const noexcept override;

  void SetBaggageItem(opentracing::string_view,
                      opentracing::string_view) noexcept override {}
  std::string BaggageItem(opentracing::string_view) const noexcept override {
    return {};
  }

  using log_field = std::pair<opentracing::string_view, opentracing::Value>;
  void Log(std::initializer_list<log_field>) noexcept override {}
  void Log(opentracing::SystemTime,
           std::initializer_list<log_field>) noexcept override {}
  void Log(opentracing::SystemTime,
           const std::vector<log_field>&) noexcept override {}

 private:
  const kernel::tracer& owner;
  std::mutex mutex;
  std::string name;
  std::string parent_id;
  span_place place;
  opentracing::SystemTime system_start;
  opentracing::SteadyTime steady_start;
  std::map<std::string, std::string> tags;
  bool finished = false;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_TRACE_SPAN_HPP
