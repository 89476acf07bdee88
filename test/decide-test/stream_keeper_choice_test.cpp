#include "decide/stream_keeper_choice.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using indices = std::vector<std::size_t>;

stream_keeper_candidate keeping(const std::string& domain) {
  return {.failure_domain = domain, .keeps = true, .may_begin = true};
}

stream_keeper_candidate idle(const std::string& domain) {
  return {.failure_domain = domain, .may_begin = true};
}

stream_keeper_candidate leaving(const std::string& domain) {
  return {.failure_domain = domain};
}

// Guards against streams that are lost with one failure domain.
TEST(stream_keeper_choice_test, prefers_failure_domains_without_a_keeper) {
  EXPECT_EQ(choose_stream_keepers({idle("a"), idle("a"), idle("b")}, 2),
            (indices{0, 2}));
  EXPECT_EQ(choose_stream_keepers({keeping("a"), idle("a"), idle("b")}, 1),
            indices{2});
}

TEST(stream_keeper_choice_test, takes_one_of_the_same_domain_if_need_be) {
  EXPECT_EQ(choose_stream_keepers({idle("a"), idle("a"), idle("a")}, 2),
            (indices{0, 1}));
  EXPECT_EQ(choose_stream_keepers({keeping("a"), idle("a")}, 1), indices{1});
}

// Guards against streams that are kept by an agent whose worker leaves.
TEST(stream_keeper_choice_test, chooses_only_those_that_may_begin) {
  EXPECT_EQ(choose_stream_keepers({leaving("a"), idle("b")}, 2), indices{1});
  EXPECT_EQ(choose_stream_keepers({leaving("a"), keeping("b")}, 1), indices{});
  EXPECT_EQ(choose_stream_keepers({}, 2), indices{});
}

TEST(stream_keeper_choice_test, chooses_no_more_than_are_missing) {
  EXPECT_EQ(choose_stream_keepers({idle("a"), idle("b")}, 0), indices{});
  EXPECT_EQ(choose_stream_keepers({idle("a"), idle("b")}, 1), indices{0});
}

}  // namespace
}  // namespace boragehill::decide
