#include "masticwinch/stand_in/runner_settings.hpp"

#include "masticwinch/settings/settings_reader.hpp"

namespace masticwinch {

namespace {

constexpr SettingsRange SlotRange{1, 100000};
constexpr SettingsRange DelayRange{0, 3600 * 1000};

Behavior readBehavior(SettingsReader &reader) {
  const std::string text = reader.optionalString("behavior", "");
  const std::optional<Behavior> behavior = applyBehavior({}, text);
  if (!behavior) {
    reader.report("behavior", "must be a list of delay=MS, fail=STATUS, "
                              "size=BYTES, hang, truncate, refuse, busy");
  }
  return behavior.value_or(Behavior{});
}

} // namespace

Result<RunnerSettings> readRunnerSettings(const std::string &file) {
  return readSettings<RunnerSettings>(file, [](SettingsReader &reader,
                                               RunnerSettings &settings) {
    settings.Common = readStandInSettings(reader, "executions_file");
    settings.Service = reader.requiredString("service");
    settings.Slots = static_cast<std::uint32_t>(
        reader.optionalInteger("slots", SlotRange, settings.Slots));
    settings.Connections = static_cast<std::uint32_t>(
        reader.optionalInteger("connections", SlotRange, settings.Connections));
    settings.Default = readBehavior(reader);
    settings.Linger =
        reader.optionalMilliseconds("linger_ms", DelayRange, settings.Linger);
  });
}

} // namespace masticwinch
