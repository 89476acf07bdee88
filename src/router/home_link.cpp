#include "router/home_link.hpp"

#include "router/fleet.hpp"
#include "router/home_duty.hpp"
#include "wire/attempt_query.hpp"
#include "wire/field_codec.hpp"
#include "wire/permit_renewal.hpp"
#include "wire/renewal_answer.hpp"
#include "wire/rpc_client.hpp"

namespace boragehill::router {

home_link::home_link(fleet& all, home_duty& own_home, wire::rpc_client& client,
                     milliseconds call_timeout)
    : members(all), own(own_home), rpc(client), timeout(call_timeout) {}

result<wire::permit_answer> home_link::ask(
    const vm_info& home, const wire::permit_request& request) {
  if (this->is_own(home)) return this->own.ask(request, this->timeout);
  const auto answer = this->rpc.call(home.control, "home.permit",
                                     wire::to_json(request), this->timeout);
  if (!answer) {
    this->members.on_call_failed(home.id, time_point::clock::now());
    return answer.error();
  }
  this->members.on_call_answered(home.id);
  return wire::from_json<wire::permit_answer>(answer.value());
}

result<std::vector<std::string>> home_link::renew(
    const vm_info& home, const std::vector<std::string>& attempts) {
  if (this->is_own(home)) return this->own.renew(attempts, this->timeout);
  const wire::permit_renewal renewal{.entry = this->members.self().control,
                                     .attempts = attempts};
  const auto answer = this->rpc.call(home.control, "home.renew",
                                     wire::to_json(renewal), this->timeout);
  if (!answer) {
    this->members.on_call_failed(home.id, time_point::clock::now());
    return answer.error();
  }
  const auto read = wire::from_json<wire::renewal_answer>(answer.value());
  if (!read) return read.error();
  return read.value().unknown;
}

void home_link::withdraw(const vm_info& home, const std::string& attempt) {
  if (this->is_own(home)) {
    this->own.post(withdraw_message{attempt});
    return;
  }
  const wire::attempt_query query{.attempt = attempt};
  (void)this->rpc.call(home.control, "home.withdraw", wire::to_json(query),
                       this->timeout);
}

void home_link::done(const vm_info& home,
                     const std::vector<wire::attempt_end>& ends) {
  const wire::attempts_done done{.entry = this->members.self().control,
                                 .ends = ends};
  if (this->is_own(home)) {
    this->own.post(done_message{done});
    return;
  }
  (void)this->rpc.call(home.control, "home.done", wire::to_json(done),
                       this->timeout);
}

bool home_link::is_own(const vm_info& home) const {
  return home.id == this->members.self().id;
}

}  // namespace boragehill::router
