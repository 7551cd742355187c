#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/common/result.hpp"
#include "masticwinch/settings/settings_error.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticwinch {

/// Inclusive range of a number in the settings.
struct SettingsRange {
  std::int64_t Min;
  std::int64_t Max;
};

/// Reads a JSON object of settings and collects all problems: missing and
/// unknown keys, wrong types and values out of range. An invalid value is
/// replaced by its default, so that the remaining keys are still checked.
class SettingsReader {
public:
  SettingsReader(const nlohmann::json &object, std::string path,
                 std::vector<SettingsProblem> &problems);

  /// Required keys.
  std::string requiredString(const std::string &key);
  std::int64_t requiredInteger(const std::string &key, SettingsRange range);

  /// Optional keys with a default value.
  std::string optionalString(const std::string &key, std::string defaultValue);
  std::int64_t optionalInteger(const std::string &key, SettingsRange range,
                               std::int64_t defaultValue);
  bool optionalBoolean(const std::string &key, bool defaultValue);
  /// Reads a number from `min` to `max` that may have a fraction.
  double optionalDecimal(const std::string &key, double min, double max,
                         double defaultValue);

  /// Reads a duration in whole milliseconds.
  Milliseconds optionalMilliseconds(const std::string &key, SettingsRange range,
                                    Milliseconds defaultValue);

  /// Reads an enumerator by its name.
  template <NamedEnum Enum>
  Enum optionalEnum(const std::string &key, Enum defaultValue) {
    const std::string text =
        optionalString(key, std::string(nameOf(defaultValue)));
    if (const std::optional<Enum> value = parseEnum<Enum>(text)) {
      return *value;
    }
    std::string names;
    for (const EnumName<Enum> &it : EnumNames<Enum>::Table) {
      names += (names.empty() ? "" : ", ") + std::string(it.Name);
    }
    report(key, "must be one of " + names);
    return defaultValue;
  }

  /// Reads a nested object; a missing one is treated as empty.
  void object(const std::string &key,
              const std::function<void(SettingsReader &)> &read);

  /// Reads an array of objects; a missing one is treated as empty.
  void eachObject(const std::string &key,
                  const std::function<void(SettingsReader &)> &read);

  /// Adds a problem with a key of this object.
  void report(const std::string &key, std::string reason);

  /// Reports every key that was not read as unknown. Call it last.
  void finish();

private:
  const nlohmann::json *find(const std::string &key);

  const nlohmann::json &Object;
  std::string Path;
  std::vector<SettingsProblem> &Problems;
  std::set<std::string> KnownKeys;
};

/// Loads a settings file as JSON. Errors: `SettingsError`.
Result<nlohmann::json> loadSettingsFile(const std::string &file);

/// Loads a settings file and fills a settings object through `read`, which
/// takes the reader and the object. Errors: `SettingsError`.
template <class Settings, class Read>
Result<Settings> readSettings(const std::string &file, const Read &read) {
  Result<nlohmann::json> json = loadSettingsFile(file);
  if (!json) {
    return json.error();
  }
  std::vector<SettingsProblem> problems;
  SettingsReader reader(json.value(), "", problems);
  Settings settings;
  read(reader, settings);
  reader.finish();
  if (!problems.empty()) {
    return boost::leaf::new_error(SettingsError{file, std::move(problems)});
  }
  return settings;
}

} // namespace masticwinch
