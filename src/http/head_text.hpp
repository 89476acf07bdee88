#ifndef BORAGEHILL_HTTP_HEAD_TEXT_HPP
#define BORAGEHILL_HTTP_HEAD_TEXT_HPP

#include <string>
#include <string_view>

#include "http/header_list.hpp"

namespace boragehill::http {

/// \return The head of a request, with the empty line at its end.
std::string request_head(std::string_view method, std::string_view target,
                         const header_list& headers);

/// \return The head of an answer, with the empty line at its end.
std::string answer_head(int status, const header_list& headers);

/// \return One chunk of a chunked body; an empty one ends the body.
std::string chunk(std::string_view bytes);

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_HEAD_TEXT_HPP
