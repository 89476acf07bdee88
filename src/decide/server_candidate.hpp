#ifndef BORAGEHILL_DECIDE_SERVER_CANDIDATE_HPP
#define BORAGEHILL_DECIDE_SERVER_CANDIDATE_HPP

namespace boragehill::decide {

/// One backend server that could take a request, as the chooser sees it.
struct server_candidate {
  /// Requests that this router has there.
  int own_requests = 0;
  /// Requests that the other routers have there, as last told.
  int other_requests = 0;
  /// Prompt tokens of this router's requests there that have no answer yet.
  int unread_tokens = 0;
  /// Requests that it runs at once.
  int slots = 1;
  /// It is in the router's failure domain.
  bool near = false;
  /// It failed lately; used only where nothing else is left.
  bool suspect = false;

  bool operator==(const server_candidate&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SERVER_CANDIDATE_HPP
