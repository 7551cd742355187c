#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

namespace masticwinch {
class EventLog;
} // namespace masticwinch

namespace masticwinch::workflow {

/// Handles SIGHUP, which announces a change of the settings file. It is only
/// logged: settings are read once, when a process starts.
class SettingsReload {
public:
  SettingsReload(asio::io_context &context, EventLog &events);

  void start();

private:
  EventLog &Events;
  asio::signal_set Hangup;
};

} // namespace masticwinch::workflow
