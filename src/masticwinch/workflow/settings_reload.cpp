#include "masticwinch/workflow/settings_reload.hpp"

#include "masticwinch/events/event_log.hpp"

#include <csignal>
#include <system_error>

namespace masticwinch::workflow {

SettingsReload::SettingsReload(asio::io_context &context, EventLog &events)
    : Events(events), Hangup(context, SIGHUP) {}

void SettingsReload::start() {
  Hangup.async_wait([this](const std::error_code &ec, int) {
    if (!ec) {
      Events.writeNamed("settings_reload", {{"outcome", "unchanged"}});
      start();
    }
  });
}

} // namespace masticwinch::workflow
