#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

namespace masticwinch {
class EventLog;
} // namespace masticwinch

namespace masticwinch::workflow {

/// Takes SIGHUP, which says that the settings file has changed, and logs it.
/// Settings hold for the life of a process, so nothing else follows.
class SettingsReload {
public:
  SettingsReload(asio::io_context &context, EventLog &events);

  void start();

private:
  EventLog &Events;
  asio::signal_set Hangup;
};

} // namespace masticwinch::workflow
