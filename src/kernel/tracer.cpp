#include "kernel/tracer.hpp"

#include <chrono>
#include <string>
#include <utility>

#include "kernel/trace_span.hpp"

namespace boragehill::kernel {

namespace {

constexpr const char* header_name = "traceparent";

using context_pointer = std::unique_ptr<opentracing::SpanContext>;

opentracing::expected<void> write_header(
    const opentracing::SpanContext& context,
    const opentracing::TextMapWriter& writer) {
  const auto* own = dynamic_cast<const span_place*>(&context);
  if (!own) {
    return opentracing::make_unexpected(
        opentracing::invalid_span_context_error);
  }
  return writer.Set(header_name, own->place.to_string());
}

/// Header names reach us in any case.
bool is_header_name(opentracing::string_view key) {
  std::string lower(key.data(), key.size());
  for (char& letter : lower) {
    if (letter >= 'A' && letter <= 'Z') letter += 'a' - 'A';
  }
  return lower == header_name;
}

opentracing::expected<context_pointer> read_header(
    const opentracing::TextMapReader& reader) {
  std::optional<trace_context> found;
  const auto result = reader.ForeachKey(
      [&found](opentracing::string_view key,
               opentracing::string_view value) -> opentracing::expected<void> {
        if (is_header_name(key)) {
          found = trace_context::parse({value.data(), value.size()});
        }
        return {};
      });
  if (!result) return opentracing::make_unexpected(result.error());
  if (!found) return context_pointer();
  return context_pointer(std::make_unique<span_place>(*found));
}

const trace_context* parent_of(const opentracing::StartSpanOptions& options) {
  for (const auto& [type, context] : options.references) {
    const auto* own = dynamic_cast<const span_place*>(context);
    if (own) return &own->place;
  }
  return nullptr;
}

}  // namespace

tracer::tracer(std::unique_ptr<span_recorder> recorder, std::size_t capacity)
    : recorder(std::move(recorder)),
      writer("spans", capacity, milliseconds(1000),
             [this](span_record& each) { this->recorder->record(each); }, {}) {
  this->writer.start();
}

void tracer::stop() {
  this->writer.stop();
}

std::uint64_t tracer::dropped() const {
  return this->lost;
}

void tracer::submit(span_record finished) const noexcept {
  if (!this->writer.post(std::move(finished))) ++this->lost;
}

std::unique_ptr<opentracing::Span> tracer::StartSpanWithOptions(
    opentracing::string_view name,
    const opentracing::StartSpanOptions& options) const noexcept {
  return std::make_unique<trace_span>(*this, std::string(name),
                                      parent_of(options), options);
}

opentracing::expected<void> tracer::Inject(const opentracing::SpanContext&,
                                           std::ostream&) const {
  return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<void> tracer::Inject(
    const opentracing::SpanContext& context,
    const opentracing::TextMapWriter& writer) const {
  return write_header(context, writer);
}

opentracing::expected<void> tracer::Inject(
    const opentracing::SpanContext& context,
    const opentracing::HTTPHeadersWriter& writer) const {
  return write_header(context, writer);
}

opentracing::expected<context_pointer> tracer::Extract(std::istream&) const {
  return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<context_pointer> tracer::Extract(
    const opentracing::TextMapReader& reader) const {
  return read_header(reader);
}

opentracing::expected<context_pointer> tracer::Extract(
    const opentracing::HTTPHeadersReader& reader) const {
  return read_header(reader);
}

}  // namespace boragehill::kernel
