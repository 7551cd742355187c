#pragma once

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/programs/exit_code.hpp"

#include <asio/io_context.hpp>

#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace masticwinch::workflow {

/// What the control thread is handling, for the event that is logged when an
/// exception ends the process.
class Activity {
public:
  /// Called when a handler begins. `subject` names what it handles: a request's
  /// path, a message's sender or a record's index.
  void begin(std::string_view handler, std::string subject = {}) {
    Handler = handler;
    Subject = std::move(subject);
  }

  std::string_view handler() const { return Handler; }
  const std::string &subject() const { return Subject; }

private:
  std::string_view Handler = "start";
  std::string Subject;
};

/// Starts a daemon and runs its control thread until the event loop stops. An
/// exception that escapes a handler ends the process, with an event that names
/// the handler.
template <class Start>
ExitCode runControlLoop(asio::io_context &context, EventLog &events,
                        const Activity &activity, const Start &start) {
  try {
    start();
    context.run();
    return ExitCode::Success;
  } catch (const std::exception &error) {
    events.writeNamed("process_failed",
                      {{"handler", activity.handler()},
                       {"subject", activity.subject()},
                       {"reason", error.what()},
                       {"code", static_cast<int>(ExitCode::Failure)}});
    return ExitCode::Failure;
  }
}

} // namespace masticwinch::workflow
