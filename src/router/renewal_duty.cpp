#include "router/renewal_duty.hpp"

#include "router/home_link.hpp"
#include "router/permit_desk.hpp"

namespace boragehill::router {

renewal_duty::renewal_duty(permit_desk& places, home_link& link,
                           kernel::task_pool& pool, milliseconds interval)
    : desk(places),
      homes(link),
      calls(pool),
      worker(
          "renewal", 1, interval, [](std::monostate&) {},
          [this] { this->renew_all(); }) {}

void renewal_duty::renew_all() {
  for (const auto& [id, waiting] : this->desk.waiting()) {
    {
      const std::lock_guard lock(this->mutex);
      if (!this->busy.insert(id).second) continue;
    }
    const bool posted = this->calls.try_post(
        [this, home = waiting.first, attempts = waiting.second] {
          this->renew(home, attempts);
        });
    if (posted) continue;
    const std::lock_guard lock(this->mutex);
    this->busy.erase(id);
  }
}

void renewal_duty::renew(const vm_info& home,
                         const std::vector<std::string>& attempts) {
  const auto unknown = this->homes.renew(home, attempts);
  {
    const std::lock_guard lock(this->mutex);
    this->busy.erase(home.id);
  }
  // Without an answer all of them ask the next home; each keeps its deadline.
  this->desk.lose(unknown ? unknown.value() : attempts);
}

}  // namespace boragehill::router
