#include "masticwinch/settings/settings_reader.hpp"

#include <boost/leaf/error.hpp>
#include <fmt/format.h>

#include <fstream>

namespace masticwinch {

namespace {

const nlohmann::json EmptyObject = nlohmann::json::object();

} // namespace

std::string SettingsError::text() const {
  std::string lines;
  for (const SettingsProblem &it : Problems) {
    lines += File + ": " + (it.KeyPath.empty() ? "/" : it.KeyPath) + ": " +
             it.Reason + "\n";
  }
  return lines;
}

SettingsReader::SettingsReader(const nlohmann::json &object, std::string path,
                               std::vector<SettingsProblem> &problems)
    : Object(object.is_object() ? object : EmptyObject), Path(std::move(path)),
      Problems(problems) {
  if (!object.is_object()) {
    Problems.push_back({Path, "must be an object"});
  }
}

const nlohmann::json *SettingsReader::find(const std::string &key) {
  KnownKeys.insert(key);
  const auto it = Object.find(key);
  return it == Object.end() ? nullptr : &*it;
}

void SettingsReader::report(const std::string &key, std::string reason) {
  Problems.push_back({Path + "/" + key, std::move(reason)});
}

std::string SettingsReader::requiredString(const std::string &key) {
  if (find(key) == nullptr) {
    report(key, "is required");
    return {};
  }
  std::string value = optionalString(key, "");
  if (value.empty() && Object.at(key).is_string()) {
    report(key, "must not be empty");
  }
  return value;
}

std::int64_t SettingsReader::requiredInteger(const std::string &key,
                                             SettingsRange range) {
  if (find(key) == nullptr) {
    report(key, "is required");
    return range.Min;
  }
  return optionalInteger(key, range, range.Min);
}

std::string SettingsReader::optionalString(const std::string &key,
                                           std::string defaultValue) {
  const nlohmann::json *value = find(key);
  if (value == nullptr) {
    return defaultValue;
  }
  if (!value->is_string()) {
    report(key, "must be a string");
    return defaultValue;
  }
  return value->get<std::string>();
}

std::int64_t SettingsReader::optionalInteger(const std::string &key,
                                             SettingsRange range,
                                             std::int64_t defaultValue) {
  const nlohmann::json *value = find(key);
  if (value == nullptr) {
    return defaultValue;
  }
  if (!value->is_number_integer()) {
    report(key, "must be a whole number");
    return defaultValue;
  }
  const bool exceedsInt64 =
      value->is_number_unsigned() &&
      value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
  const std::int64_t number =
      exceedsInt64 ? INT64_MAX : value->get<std::int64_t>();
  if (exceedsInt64 || number < range.Min || number > range.Max) {
    report(key, "must be from " + std::to_string(range.Min) + " to " +
                    std::to_string(range.Max));
    return defaultValue;
  }
  return number;
}

bool SettingsReader::optionalBoolean(const std::string &key,
                                     bool defaultValue) {
  const nlohmann::json *value = find(key);
  if (value == nullptr) {
    return defaultValue;
  }
  if (!value->is_boolean()) {
    report(key, "must be true or false");
    return defaultValue;
  }
  return value->get<bool>();
}

Milliseconds SettingsReader::optionalMilliseconds(const std::string &key,
                                                  SettingsRange range,
                                                  Milliseconds defaultValue) {
  return Milliseconds(optionalInteger(key, range, defaultValue.count()));
}

double SettingsReader::optionalDecimal(const std::string &key, double min,
                                       double max, double defaultValue) {
  const nlohmann::json *value = find(key);
  if (value == nullptr) {
    return defaultValue;
  }
  if (!value->is_number()) {
    report(key, "must be a number");
    return defaultValue;
  }
  const double number = value->get<double>();
  if (!(number >= min && number <= max)) {
    report(key, fmt::format("must be from {} to {}", min, max));
    return defaultValue;
  }
  return number;
}

void SettingsReader::object(const std::string &key,
                            const std::function<void(SettingsReader &)> &read) {
  const nlohmann::json *value = find(key);
  SettingsReader nested(value == nullptr ? EmptyObject : *value,
                        Path + "/" + key, Problems);
  read(nested);
  nested.finish();
}

void SettingsReader::eachObject(
    const std::string &key, const std::function<void(SettingsReader &)> &read) {
  const nlohmann::json *value = find(key);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    report(key, "must be an array of objects");
    return;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    SettingsReader nested(value->at(i),
                          Path + "/" + key + "/" + std::to_string(i), Problems);
    read(nested);
    nested.finish();
  }
}

void SettingsReader::finish() {
  for (const auto &it : Object.items()) {
    if (!KnownKeys.contains(it.key())) {
      report(it.key(), "is not a known key");
    }
  }
}

Result<nlohmann::json> loadSettingsFile(const std::string &file) {
  std::ifstream in(file);
  if (!in) {
    return boost::leaf::new_error(SettingsError{file, {{"", "can't be read"}}});
  }
  nlohmann::json json = nlohmann::json::parse(in, nullptr, false);
  if (json.is_discarded()) {
    return boost::leaf::new_error(
        SettingsError{file, {{"", "is not valid JSON"}}});
  }
  return json;
}

} // namespace masticwinch
