#ifndef BORAGEHILL_RESULT_HPP
#define BORAGEHILL_RESULT_HPP

#include <boost/outcome/std_result.hpp>

namespace boragehill {

/// A value or a `std::error_code`, for calls whose failure is expected.
///
///     result<table_row> row = table.read("profile/quotes");
///     if (!row) return row.error();
template <class Value>
using result = boost::outcome_v2::std_result<Value>;

/// The success value of a `result<void>`.
inline auto success() {
  return boost::outcome_v2::success();
}

}  // namespace boragehill

#endif  // BORAGEHILL_RESULT_HPP
