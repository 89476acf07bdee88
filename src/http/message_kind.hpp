#ifndef BORAGEHILL_HTTP_MESSAGE_KIND_HPP
#define BORAGEHILL_HTTP_MESSAGE_KIND_HPP

namespace boragehill::http {

/// What a parser reads.
enum class message_kind { request, answer };

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_MESSAGE_KIND_HPP
