#include "kernel/trace_span.hpp"

#include <chrono>
#include <type_traits>

#include "kernel/tracer.hpp"

namespace boragehill::kernel {

namespace {

/// Shows a tag's value as text; nested values aren't supported.
std::string to_text(const opentracing::Value& value) {
  return opentracing::Value::visit(value, [](const auto& each) -> std::string {
    using type = std::decay_t<decltype(each)>;
    if constexpr (std::is_same_v<type, bool>) {
      return each ? "true" : "false";
    } else if constexpr (std::is_arithmetic_v<type>) {
      return std::to_string(each);
    } else if constexpr (std::is_convertible_v<type, std::string>) {
      return each;
    } else {
      return {};
    }
  });
}

template <class Duration>
std::int64_t microseconds_in(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

}  // namespace

trace_span::trace_span(const kernel::tracer& owner, std::string name,
                       const trace_context* parent,
                       const opentracing::StartSpanOptions& options)
    : owner(owner),
      name(std::move(name)),
      parent_id(parent ? parent->span_id : ""),
      place(parent ? parent->child() : trace_context::fresh()),
      system_start(options.start_system_timestamp),
      steady_start(options.start_steady_timestamp) {
  if (this->system_start == opentracing::SystemTime()) {
    this->system_start = opentracing::SystemClock::now();
  }
  if (this->steady_start == opentracing::SteadyTime()) {
    this->steady_start = opentracing::SteadyClock::now();
  }
  for (const auto& [key, value] : options.tags) this->SetTag(key, value);
}

trace_span::~trace_span() {
  this->Finish();
}

void trace_span::FinishWithOptions(
    const opentracing::FinishSpanOptions& options) noexcept {
  const std::lock_guard lock(this->mutex);
  if (this->finished) return;
  this->finished = true;
  const trace_context& own = this->place.place;
  if (!own.sampled) return;
  this->owner.submit(
      {.trace_id = own.trace_id,
       .span_id = own.span_id,
       .parent_id = this->parent_id,
       .name = this->name,
       .start_us = microseconds_in(this->system_start.time_since_epoch()),
       .duration_us = microseconds_in(options.finish_steady_timestamp -
                                      this->steady_start),
       .tags = {this->tags.begin(), this->tags.end()}});
}

void trace_span::SetOperationName(opentracing::string_view name) noexcept {
  const std::lock_guard lock(this->mutex);
  this->name.assign(name.data(), name.size());
}

void trace_span::SetTag(opentracing::string_view key,
                        const opentracing::Value& value) noexcept {
  const std::lock_guard lock(this->mutex);
  this->tags.insert_or_assign(std::string(key.data(), key.size()),
                              to_text(value));
}

const opentracing::SpanContext& trace_span::context() const noexcept {
  return this->place;
}

const opentracing::Tracer& trace_span::tracer() const noexcept {
  return this->owner;
}

}  // namespace boragehill::kernel
