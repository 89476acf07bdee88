#ifndef BORAGEHILL_DECIDE_SERVER_CANDIDATE_HPP
#define BORAGEHILL_DECIDE_SERVER_CANDIDATE_HPP

namespace boragehill::decide {

/// A backend server that could take a request, as input of `choose_server`.
struct server_candidate {
  /// Number of this router's requests at the server.
  int own_requests = 0;
  /// Number of the other routers' requests at the server, as last reported.
  int other_requests = 0;
  /// Prompt tokens of this router's requests whose responses have not started.
  int prompt_backlog_tokens = 0;
  /// Work of the requests there, in that of a mean request; only used with a
  /// pace.
  double expected_work = 0;
  /// How long work takes there, 1 is the usual time; 0 if the server doesn't
  /// tell.
  double pace = 0;
  /// Number of requests that the server runs concurrently.
  int slots = 1;
  /// The server is in the router's failure domain.
  bool local = false;
  /// The server failed recently or interrupted this request; it is used only if
  /// no other has capacity.
  bool suspected = false;

  bool operator==(const server_candidate&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SERVER_CANDIDATE_HPP
