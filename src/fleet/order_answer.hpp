#ifndef BORAGEHILL_FLEET_ORDER_ANSWER_HPP
#define BORAGEHILL_FLEET_ORDER_ANSWER_HPP

namespace boragehill::fleet {

/// What became of an order.
enum class order_answer {
  /// It is being carried out, or what it asks for holds already.
  accepted,
  /// Another order is under way, or the sequence number differs.
  conflict,
  /// Refused for good: another lifetime, an old fence, or it makes no sense.
  refused,
  /// No answer: it may be carried out, now or later.
  unknown,
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_ORDER_ANSWER_HPP
