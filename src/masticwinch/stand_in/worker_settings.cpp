#include "masticwinch/stand_in/worker_settings.hpp"

#include "masticwinch/settings/settings_reader.hpp"

namespace masticwinch {

namespace {

constexpr SettingsRange CapacityRange{0, 1'000'000'000};
constexpr SettingsRange DelayRange{0, 3600 * 1000};

WorkerBehavior readBehavior(SettingsReader &reader) {
  WorkerBehavior behavior;
  reader.object("behavior", [&](SettingsReader &nested) {
    behavior.FailAll = nested.optionalBoolean("fail_all", false);
    behavior.StartDelay = nested.optionalMilliseconds(
        "start_delay_ms", DelayRange, behavior.StartDelay);
    behavior.UsagePercent = nested.optionalInteger("usage_percent", {0, 1000},
                                                   behavior.UsagePercent);
    behavior.UsageLag = nested.optionalMilliseconds("usage_lag_ms", DelayRange,
                                                    behavior.UsageLag);
  });
  return behavior;
}

} // namespace

Result<WorkerSettings> readWorkerSettings(const std::string &file) {
  return readSettings<WorkerSettings>(file, [](SettingsReader &reader,
                                               WorkerSettings &settings) {
    settings.Common = readStandInSettings(reader, "tasks_file");
    VmResources &capacity = settings.Capacity;
    capacity.MilliProcessors =
        reader.requiredInteger("milli_processors", CapacityRange);
    capacity.MemoryMib = reader.requiredInteger("memory_mib", CapacityRange);
    capacity.Accelerators =
        reader.optionalInteger("accelerators", CapacityRange, 0);
    settings.Behavior = readBehavior(reader);
  });
}

} // namespace masticwinch
