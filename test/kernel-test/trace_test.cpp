#include <cstdio>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <map>

#include "kernel/file_span_recorder.hpp"
#include "kernel/null_span_recorder.hpp"
#include "kernel/random.hpp"
#include "kernel/span.hpp"
#include "kernel/span_place.hpp"
#include "kernel/trace_context.hpp"
#include "kernel/tracer.hpp"

namespace boragehill::kernel {
namespace {

const std::string header =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

/// Keeps spans in memory; waits for a gate before the first, if it has one.
class fake_recorder final : public span_recorder {
 public:
  fake_recorder(std::vector<span_record>& kept, std::shared_future<void> gate)
      : kept(kept), gate(std::move(gate)) {}

  void record(const span_record& finished) override {
    if (this->gate.valid()) this->gate.wait();
    this->kept.push_back(finished);
  }

 private:
  std::vector<span_record>& kept;
  std::shared_future<void> gate;
};

class text_map final : public opentracing::TextMapWriter,
                       public opentracing::TextMapReader {
 public:
  opentracing::expected<void> Set(
      opentracing::string_view key,
      opentracing::string_view value) const override {
    this->entries[key] = value;
    return {};
  }

  opentracing::expected<void> ForeachKey(
      std::function<opentracing::expected<void>(opentracing::string_view,
                                                opentracing::string_view)>
          each) const override {
    for (const auto& [key, value] : this->entries) {
      if (auto done = each(key, value); !done) return done;
    }
    return {};
  }

  mutable std::map<std::string, std::string> entries;
};

TEST(trace_context_test, parses_and_formats_a_traceparent) {
  const auto parsed = trace_context::parse(header);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->trace_id, "4bf92f3577b34da6a3ce929d0e0e4736");
  EXPECT_EQ(parsed->span_id, "00f067aa0ba902b7");
  EXPECT_TRUE(parsed->sampled);
  EXPECT_EQ(parsed->to_string(), header);
  EXPECT_TRUE(trace_context::parse("cc" + header.substr(2) + "-later"));
}

TEST(trace_context_test, refuses_what_the_standard_refuses) {
  std::string capital = header;
  capital[3] = 'B';
  std::string zero_trace = header;
  zero_trace.replace(3, 32, 32, '0');
  std::string zero_span = header;
  zero_span.replace(36, 16, 16, '0');
  for (const std::string& each :
       {std::string(), header.substr(1), header + "-later",
        "ff" + header.substr(2), "zz" + header.substr(2), capital, zero_trace,
        zero_span, header.substr(0, 53) + "0x"}) {
    EXPECT_FALSE(trace_context::parse(each)) << each;
  }
}

TEST(trace_context_test, a_child_stays_in_its_trace) {
  const auto root = trace_context::fresh();
  const auto child = root.child();
  EXPECT_TRUE(trace_context::parse(child.to_string()));
  EXPECT_EQ(child.trace_id, root.trace_id);
  EXPECT_NE(child.span_id, root.span_id);
  EXPECT_NE(trace_context::fresh().trace_id, root.trace_id);
}

TEST(tracer_test, records_a_span_for_each_hop) {
  std::vector<span_record> kept;
  tracer subject(
      std::make_unique<fake_recorder>(kept, std::shared_future<void>()));
  {
    span entry(subject, "entry", trace_context::parse(header));
    entry.tag("model", "m1");
    entry.tag("attempt", 2);
    span hop(subject, "hop", entry.context());
  }
  {
    auto unsampled = trace_context::fresh();
    unsampled.sampled = false;
    span hop(subject, "unsampled", unsampled);
  }
  subject.stop();
  ASSERT_EQ(kept.size(), 2u);
  EXPECT_EQ(kept[0].name, "hop");
  EXPECT_EQ(kept[0].parent_id, kept[1].span_id);
  EXPECT_EQ(kept[1].parent_id, "00f067aa0ba902b7");
  const std::vector<std::pair<std::string, std::string>> tags{{"attempt", "2"},
                                                              {"model", "m1"}};
  EXPECT_EQ(kept[1].tags, tags);
  EXPECT_NE(kept[1].to_json().find("\"tags\":{\"attempt\":\"2\""),
            std::string::npos);
}

TEST(tracer_test, drops_and_counts_spans_when_the_recorder_hangs) {
  // A user would see requests wait for a slow disk.
  // The recorder hangs, the ring fills, and further spans finish.
  // Cause: tracing that waits for its recorder instead of dropping.
  std::vector<span_record> kept;
  std::promise<void> release;
  tracer subject(
      std::make_unique<fake_recorder>(kept, release.get_future().share()), 2);
  for (int i = 0; i < 10; ++i) span(subject, "hop", std::nullopt);
  const auto dropped = subject.dropped();
  EXPECT_GE(dropped, 7u);
  release.set_value();
  subject.stop();
  EXPECT_EQ(kept.size() + dropped, 10u);
}

TEST(file_span_recorder_test, appends_a_line_of_json_for_each_span) {
  const std::string path =
      testing::TempDir() + "boragehill_spans_" + random_hex(16) + ".jsonl";
  const span_record finished{.trace_id = "t", .name = "a \"quoted\" hop"};
  file_span_recorder(path).record(finished);
  file_span_recorder(path).record(finished);
  std::ifstream file(path);
  std::string line;
  int lines = 0;
  while (std::getline(file, line)) {
    EXPECT_EQ(line, finished.to_json());
    ++lines;
  }
  EXPECT_EQ(lines, 2);
  std::remove(path.c_str());
}

TEST(tracer_test, passes_the_context_through_a_text_map) {
  tracer subject(std::make_unique<null_span_recorder>());
  const span_place place(*trace_context::parse(header));
  text_map carrier;
  const opentracing::TextMapWriter& writer = carrier;
  const opentracing::TextMapReader& reader = carrier;
  ASSERT_TRUE(subject.Inject(place, writer));
  EXPECT_EQ(carrier.entries.at("traceparent"), header);
  carrier.entries = {{"Traceparent", header}};
  const auto found = subject.Extract(reader);
  ASSERT_TRUE(found && *found);
  EXPECT_EQ((*found)->ToSpanID(), place.place.span_id);
}

}  // namespace
}  // namespace boragehill::kernel
