#include "masticwinch/stand_in/task_payload.hpp"

#include <nlohmann/json.hpp>

namespace masticwinch {

namespace {

std::optional<std::int64_t> nonNegativeInteger(const nlohmann::json &json,
                                               const char *key) {
  const auto it = json.find(key);
  if (it == json.end() || !it->is_number_integer()) {
    return std::nullopt;
  }
  return std::max<std::int64_t>(it->get<std::int64_t>(), 0);
}

} // namespace

TaskPayload parseTaskPayload(const std::string &text) {
  TaskPayload payload;
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return payload;
  }
  if (const auto runTime = nonNegativeInteger(json, "run_ms")) {
    payload.RunTime = Milliseconds(*runTime);
  }
  const auto fail = json.find("fail");
  payload.Fail = fail != json.end() && fail->is_boolean() && fail->get<bool>();
  payload.StopTime =
      Milliseconds(nonNegativeInteger(json, "stop_ms").value_or(0));
  payload.UseMilliProcessors = nonNegativeInteger(json, "use_milli_processors");
  payload.UseMemoryMib = nonNegativeInteger(json, "use_memory_mib");
  return payload;
}

} // namespace masticwinch
