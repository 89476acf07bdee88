#include "kernel/span.hpp"

#include "kernel/span_place.hpp"
#include "kernel/tracer.hpp"

namespace boragehill::kernel {

namespace {

std::unique_ptr<opentracing::Span> start(
    const tracer& owner, const std::string& name,
    const std::optional<trace_context>& parent) {
  if (!parent) return owner.StartSpan(name);
  const span_place from(*parent);
  return owner.StartSpan(name, {opentracing::ChildOf(&from)});
}

opentracing::string_view view(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

span::span(tracer& owner, const std::string& name,
           const std::optional<trace_context>& parent)
    : inner(start(owner, name, parent)),
      place(static_cast<const span_place&>(this->inner->context()).place) {}

span::~span() = default;

void span::tag(std::string_view key, std::string_view value) {
  this->inner->SetTag(view(key), view(value));
}

void span::tag(std::string_view key, std::int64_t value) {
  this->inner->SetTag(view(key), value);
}

const trace_context& span::context() const {
  return this->place;
}

}  // namespace boragehill::kernel
