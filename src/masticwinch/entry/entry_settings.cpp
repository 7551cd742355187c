#include "masticwinch/entry/entry_settings.hpp"

namespace masticwinch::entry {

namespace {

constexpr SettingsRange HelloRange{50, 5'000};
constexpr SettingsRange BalancerDelayRange{0, 600'000};
constexpr SettingsRange DrainTimeoutRange{0, 3'600'000};
constexpr SettingsRange TrafficThreadsRange{1, 64};

} // namespace

Result<EntrySettings> loadEntrySettings(const std::string &file) {
  return readSettings<EntrySettings>(
      file, [](SettingsReader &reader, EntrySettings &settings) {
        settings.Process = programs::readProcessSettings(reader);
        settings.Controls = programs::readPeerSettings(reader, "controls");
        settings.Callers = programs::readHttpSettings(reader, "callers");
        settings.Operators = programs::readHttpSettings(reader, "operators");
        settings.HelloInterval = reader.optionalMilliseconds(
            "hello_interval_ms", HelloRange, settings.HelloInterval);
        settings.BalancerDelay = reader.optionalMilliseconds(
            "balancer_delay_ms", BalancerDelayRange, settings.BalancerDelay);
        settings.DrainTimeout = reader.optionalMilliseconds(
            "drain_timeout_ms", DrainTimeoutRange, settings.DrainTimeout);
        settings.TrafficThreads = static_cast<std::size_t>(
            reader.optionalInteger("traffic_threads", TrafficThreadsRange,
                                   std::int64_t(settings.TrafficThreads)));
      });
}

} // namespace masticwinch::entry
