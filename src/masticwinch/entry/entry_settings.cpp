#include "masticwinch/entry/entry_settings.hpp"

namespace masticwinch::entry {

namespace {

constexpr SettingsRange HelloRange{50, 5'000};
constexpr SettingsRange BalancerDelayRange{0, 600'000};

} // namespace

Result<EntrySettings> loadEntrySettings(const std::string &file) {
  return readSettings<EntrySettings>(
      file, [](SettingsReader &reader, EntrySettings &settings) {
        settings.Process = programs::readProcess(reader);
        settings.Controls = programs::readPeers(reader, "controls");
        settings.Callers = programs::readHttp(reader, "callers");
        settings.Operators = programs::readHttp(reader, "operators");
        settings.HelloInterval = reader.optionalMilliseconds(
            "hello_interval_ms", HelloRange, settings.HelloInterval);
        settings.BalancerDelay = reader.optionalMilliseconds(
            "balancer_delay_ms", BalancerDelayRange, settings.BalancerDelay);
      });
}

} // namespace masticwinch::entry
