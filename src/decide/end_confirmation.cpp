#include "decide/end_confirmation.hpp"

#include "decide/port_closing_time.hpp"

namespace boragehill::decide {

confirmation_step judge_probe(probe_outcome outcome, milliseconds waited) {
  switch (outcome) {
    case probe_outcome::gone:
      return confirmation_step::broken;
    case probe_outcome::reset:
      return waited < max_port_closing_time ? confirmation_step::probe_again
                                            : confirmation_step::complete;
    case probe_outcome::alive:
    case probe_outcome::silent:
      break;
  }
  return confirmation_step::complete;
}

}  // namespace boragehill::decide
