#include "masticwinch/stand_in/stand_in_settings.hpp"

namespace masticwinch {

StandInSettings readStandInSettings(SettingsReader &reader,
                                    const std::string &recordKey) {
  StandInSettings settings;
  settings.Name = reader.requiredString("name");
  settings.DataCenter = reader.requiredString("data_center");
  settings.Rack = reader.requiredString("rack");
  settings.EventsFile = reader.optionalString("events_file", "");
  settings.RecordFile = reader.requiredString(recordKey);
  settings.Listen = programs::readHttpSettings(reader, "listen");
  settings.Operators = programs::readHttpSettings(reader, "operators");
  reader.eachObject("entries", [&](SettingsReader &nested) {
    settings.Entries.push_back(nested.requiredString("url"));
  });
  settings.Renew =
      reader.optionalMilliseconds("renew_ms", {10, 60000}, settings.Renew);
  if (settings.Listen.Port == 0) {
    reader.report("listen", "needs a port that can be announced");
  }
  return settings;
}

} // namespace masticwinch
