#ifndef BORAGEHILL_KERNEL_EVENT_LOG_HPP
#define BORAGEHILL_KERNEL_EVENT_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <string>

#include "kernel/event.hpp"
#include "kernel/event_field.hpp"

namespace boragehill::kernel {

/// Starts the log once for the process; later calls do nothing.
/// \param program The program's name, for the log file's name.
/// \param to_stderr True: lines go to standard error only, with no file.
void start_event_log(const std::string& program, bool to_stderr);

/// Sends the lines to standard output instead, each with its time, through a
/// bounded writer that never holds up the caller; for processes whose output
/// the platform collects.
void log_to_standard_output();

/// \return The lines that were left out to bound the volume; 0 without
///     `log_to_standard_output`.
std::uint64_t dropped_lines();

/// Writes one line "event=601 name=request_refused key=value ...". Values
/// with spaces or quotes are quoted, control characters escaped, and values
/// over 256 bytes cut.
///
///     log_event(event::peer_lost, {{"peer", peer.to_string()}});
void log_event(event which, std::initializer_list<event_field> fields);

/// \return The line that `log_event` writes, without glog's prefix.
std::string format_event(event which,
                         std::initializer_list<event_field> fields);

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_EVENT_LOG_HPP
