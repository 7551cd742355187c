#include "masticwinch/stand_in/lease_message.hpp"

#include "masticwinch/settings/settings_reader.hpp"

#include <boost/leaf/error.hpp>

namespace masticwinch {

namespace {

constexpr SettingsRange NumberRange{0, INT64_MAX};
constexpr SettingsRange LeaseRange{0, 24 * 3600 * 1000};
constexpr SettingsRange ClockRange{0, INT64_MAX / 2'000'000};
constexpr const char *BodyName = "body";

TaskAttempt readAttempt(SettingsReader &reader) {
  TaskAttempt id;
  id.Task = reader.requiredString("task");
  id.Attempt = reader.requiredInteger("attempt", NumberRange);
  return id;
}

TaskStart readStart(SettingsReader &reader) {
  TaskStart start;
  start.Id = readAttempt(reader);
  VmResources &resources = start.Resources;
  resources.MilliProcessors =
      reader.requiredInteger("milli_processors", NumberRange);
  resources.MemoryMib = reader.requiredInteger("memory_mib", NumberRange);
  resources.Accelerators =
      reader.optionalInteger("accelerators", NumberRange, 0);
  start.Service = reader.optionalBoolean("service", false);
  start.Payload = reader.optionalString("payload", "");
  start.ResumeCheckpoint = reader.optionalString("resume_checkpoint", "");
  return start;
}

TaskStop readStop(SettingsReader &reader) {
  TaskStop stop;
  stop.Id = readAttempt(reader);
  stop.Checkpoint = reader.optionalBoolean("checkpoint", false);
  stop.Grace = reader.optionalMilliseconds("grace_ms", NumberRange, {});
  return stop;
}

LeaseRequest readLease(SettingsReader &reader) {
  LeaseRequest lease;
  lease.Epoch = reader.requiredInteger("epoch", NumberRange);
  lease.Sequence = reader.requiredInteger("sequence", NumberRange);
  lease.Incarnation = reader.optionalInteger("incarnation", NumberRange, 0);
  lease.Lease = Milliseconds(reader.requiredInteger("lease_ms", LeaseRange));
  const std::int64_t clock = reader.optionalInteger("clock_ms", ClockRange, -1);
  if (clock >= 0) {
    lease.WorkerClock = Milliseconds(clock);
  }
  reader.eachObject("start", [&](SettingsReader &it) {
    lease.Start.push_back(readStart(it));
  });
  reader.eachObject(
      "stop", [&](SettingsReader &it) { lease.Stop.push_back(readStop(it)); });
  reader.eachObject("forget", [&](SettingsReader &it) {
    lease.Forget.push_back(readAttempt(it));
  });
  return lease;
}

nlohmann::ordered_json reportJson(const TaskReport &report) {
  return {{"task", report.Id.Task},
          {"attempt", report.Id.Attempt},
          {"state", nameOf(report.State)},
          {"exit_code", report.ExitCode},
          {"reason", report.Reason},
          {"checkpoint", report.Checkpoint},
          {"milli_processors", report.Reserved.MilliProcessors},
          {"memory_mib", report.Reserved.MemoryMib},
          {"accelerators", report.Reserved.Accelerators},
          {"used_milli_processors", report.Used.MilliProcessors},
          {"used_memory_mib", report.Used.MemoryMib}};
}

} // namespace

VmResources VmResources::operator+(const VmResources &other) const {
  return {MilliProcessors + other.MilliProcessors, MemoryMib + other.MemoryMib,
          Accelerators + other.Accelerators};
}

VmResources VmResources::operator-(const VmResources &other) const {
  return {MilliProcessors - other.MilliProcessors, MemoryMib - other.MemoryMib,
          Accelerators - other.Accelerators};
}

bool VmResources::fitsInto(const VmResources &capacity) const {
  return MilliProcessors <= capacity.MilliProcessors &&
         MemoryMib <= capacity.MemoryMib &&
         Accelerators <= capacity.Accelerators;
}

Result<LeaseRequest> parseLeaseRequest(const std::string &body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) {
    return boost::leaf::new_error(
        SettingsError{BodyName, {{"", "is not valid JSON"}}});
  }
  std::vector<SettingsProblem> problems;
  SettingsReader reader(json, "", problems);
  LeaseRequest lease = readLease(reader);
  reader.finish();
  if (!problems.empty()) {
    return boost::leaf::new_error(SettingsError{BodyName, std::move(problems)});
  }
  return lease;
}

std::string leaseReportJson(const LeaseReport &report) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const TaskReport &it : report.Tasks) {
    list.push_back(reportJson(it));
  }
  const nlohmann::ordered_json body = {{"incarnation", report.Incarnation},
                                       {"epoch", report.Epoch},
                                       {"clock_ms", report.WorkerClock.count()},
                                       {"tasks", list}};
  return body.dump() + "\n";
}

std::string leaseRefusalJson(const LeaseRefusal &refusal) {
  const nlohmann::ordered_json body = {{"code", refusal.Code},
                                       {"message", refusal.Message},
                                       {"field", ""},
                                       {"epoch", refusal.Epoch},
                                       {"sequence", refusal.Sequence},
                                       {"incarnation", refusal.Incarnation}};
  return body.dump() + "\n";
}

} // namespace masticwinch
