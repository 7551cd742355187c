#include "masticwinch/workers/lease_codec.hpp"

#include "masticwinch/workers/json_integers.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace masticwinch::workers {

namespace {

using Json = nlohmann::json;

std::string taskName(const placement::AttemptId &id) {
  return id.Job + "/" + std::to_string(id.Task);
}

/// Parses `JOB/NUMBER`; returns false if it is malformed.
bool parseTaskName(const std::string &name, placement::AttemptId &id) {
  const std::size_t slash = name.rfind('/');
  if (slash == std::string::npos) {
    return false;
  }
  id.Job = name.substr(0, slash);
  const char *end = name.data() + name.size();
  const auto [last, ec] =
      std::from_chars(name.data() + slash + 1, end, id.Task);
  return ec == std::errc() && last == end;
}

Json attemptJson(const placement::AttemptId &id) {
  return {{"task", taskName(id)}, {"attempt", id.Number}};
}

Json startJson(const placement::StartOrder &order, const TaskContent &content) {
  Json json = attemptJson(order.Id);
  json["milli_processors"] = order.Amount.MilliProcessors;
  json["memory_mib"] = order.Amount.MemoryMib;
  json["accelerators"] = order.Amount.Accelerators;
  json["service"] = content.Service;
  json["payload"] = content.Payload;
  json["resume_checkpoint"] = order.ResumeCheckpoint;
  return json;
}

Json stopJson(const placement::StopOrder &order) {
  Json json = attemptJson(order.Id);
  json["checkpoint"] = order.Checkpoint;
  json["grace_ms"] = order.Grace.count();
  return json;
}

/// Whether a reason of a failure means that the agent refused the start without
/// running the task.
bool isRefusal(const std::string &reason) {
  return reason == "over_capacity" || reason == "another_attempt_runs";
}

placement::TaskReport parseReport(const Json &json) {
  placement::TaskReport report;
  if (!parseTaskName(json.at("task").get<std::string>(), report.Id)) {
    throw std::invalid_argument("task name");
  }
  report.Id.Number = integerAt<std::uint64_t>(json, "attempt");
  const auto state =
      parseEnum<placement::ReportedState>(json.at("state").get<std::string>());
  if (!state) {
    throw std::invalid_argument("task state");
  }
  const bool refused = *state == placement::ReportedState::Failed &&
                       isRefusal(json.value("reason", ""));
  report.State = refused ? placement::ReportedState::Refused : *state;
  report.ExitCode = integerOr(json, "exit_code", 0);
  report.Checkpoint = json.value("checkpoint", "");
  report.Given = {integerOr<std::int64_t>(json, "milli_processors", 0),
                  integerOr<std::int64_t>(json, "memory_mib", 0),
                  integerOr<std::int64_t>(json, "accelerators", 0)};
  report.Used = {integerOr<std::int64_t>(json, "used_milli_processors", 0),
                 integerOr<std::int64_t>(json, "used_memory_mib", 0), 0};
  return report;
}

} // namespace

std::string leaseBody(const placement::WorkerCall &call,
                      const TaskContentLookup &contentOf) {
  const placement::LeaseGrant &grant = call.Grant;
  Json body{{"epoch", grant.Epoch},
            {"sequence", grant.Sequence},
            {"lease_ms", grant.LeaseMs}};
  if (grant.Incarnation != 0) {
    body["incarnation"] = grant.Incarnation;
    body["clock_ms"] = grant.ClockMs;
  }
  for (const placement::StartOrder &it : call.Starts) {
    body["start"].push_back(startJson(it, contentOf(it.Id.Job)));
  }
  for (const placement::StopOrder &it : call.Stops) {
    body["stop"].push_back(stopJson(it));
  }
  for (const placement::AttemptId &it : call.Forgets) {
    body["forget"].push_back(attemptJson(it));
  }
  return body.dump();
}

std::optional<placement::WorkerAnswer> parseLeaseAnswer(std::string_view body) {
  try {
    const Json json = Json::parse(body);
    placement::WorkerAnswer answer;
    answer.Reading.Incarnation = integerAt<std::uint64_t>(json, "incarnation");
    answer.Reading.ClockMs = integerAt<std::uint64_t>(json, "clock_ms");
    for (const Json &it : json.at("tasks")) {
      answer.Tasks.push_back(parseReport(it));
    }
    return answer;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

bool refusedWithoutEffect(std::string_view refusalBody) {
  const Json json = Json::parse(refusalBody, nullptr, false);
  if (!json.is_object()) {
    return false;
  }
  const std::string code = json.value("code", "");
  return code == "wrong_incarnation" || code == "lease_over";
}

} // namespace masticwinch::workers
