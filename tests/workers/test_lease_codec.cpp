#include "masticwinch/protocol/placement.pb.h"
#include "masticwinch/stand_in/lease_message.hpp"
#include "masticwinch/workers/lease_codec.hpp"
#include "masticwinch/workers/worker_announcement.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::workers;

namespace {

placement::WorkerCall callWithOrders() {
  placement::WorkerCall call;
  call.Grant = {4, 17, 7, 88'123, 5'000};
  call.Starts.push_back({{"job-1", 3, 9}, {1'000, 512, 1}, "saved"});
  call.Stops.push_back({{"job-2", 0, 5}, true, Milliseconds(500)});
  call.Forgets.push_back({"job-3", 1, 2});
  return call;
}

} // namespace

TEST_CASE("A worker's agent decodes the body of a lease call", "[workers]") {
  const std::string body =
      leaseBody(callWithOrders(), [](const std::string &job) {
        return TaskContent{"payload of " + job, true};
      });
  const Result<LeaseRequest> read = parseLeaseRequest(body);
  REQUIRE(read);
  CHECK(read->Epoch == 4);
  CHECK(read->Sequence == 17);
  CHECK(read->Incarnation == 7);
  CHECK(read->WorkerClock == Milliseconds(88'123));
  CHECK(read->Lease == Milliseconds(5'000));
  REQUIRE(read->Start.size() == 1);
  CHECK(read->Start[0].Id == TaskAttempt{"job-1/3", 9});
  CHECK(read->Start[0].Resources.Accelerators == 1);
  CHECK(read->Start[0].Payload == "payload of job-1");
  CHECK(read->Start[0].Service);
  CHECK(read->Start[0].ResumeCheckpoint == "saved");
  CHECK(read->Stop.at(0).Checkpoint);
  CHECK(read->Forget.at(0) == TaskAttempt{"job-3/1", 2});
}

TEST_CASE("A call without a lease carries no clock reading", "[workers]") {
  placement::WorkerCall call;
  call.Grant = {4, 17, 0, 0, 0};
  const Result<LeaseRequest> read = parseLeaseRequest(
      leaseBody(call, [](const auto &) { return TaskContent{}; }));
  REQUIRE(read);
  CHECK(read->Lease == Milliseconds(0));
  CHECK_FALSE(read->WorkerClock);
}

TEST_CASE("The leader decodes the report of a worker's agent", "[workers]") {
  LeaseReport report;
  report.Incarnation = 7;
  report.WorkerClock = Milliseconds(99);
  report.Tasks.push_back({{"job-1/3", 9},
                          TaskState::Running,
                          0,
                          "",
                          "saved",
                          {1'000, 512, 1},
                          {900, 300, 0}});
  report.Tasks.push_back(
      {{"job-1/4", 10}, TaskState::Failed, 1, "over_capacity", "", {}, {}});
  const auto answer = parseLeaseAnswer(leaseReportJson(report));
  REQUIRE(answer);
  CHECK(answer->Reading.Incarnation == 7);
  CHECK(answer->Reading.ClockMs == 99);
  REQUIRE(answer->Tasks.size() == 2);
  CHECK(answer->Tasks[0].Id == placement::AttemptId{"job-1", 3, 9});
  CHECK(answer->Tasks[0].Given == placement::Resources{1'000, 512, 1});
  CHECK(answer->Tasks[0].Used == placement::Resources{900, 300, 0});
  CHECK(answer->Tasks[1].State == placement::ReportedState::Refused);
}

TEST_CASE("Malformed answers of a worker are not decoded", "[workers]") {
  const auto body = GENERATE(
      as<std::string>{}, "", "{}", "[]", R"({"incarnation":1,"clock_ms":2})",
      R"({"incarnation":1,"clock_ms":2,"tasks":[{"task":"job-1","attempt":1,"state":"running"}]})",
      R"({"incarnation":1,"clock_ms":2,"tasks":[{"task":"job-1/x","attempt":1,"state":"running"}]})",
      R"({"incarnation":1,"clock_ms":2,"tasks":[{"task":"job-1/1","attempt":1,"state":"odd"}]})",
      R"({"incarnation":1e300,"clock_ms":2,"tasks":[]})",
      R"({"incarnation":1,"clock_ms":-1,"tasks":[]})",
      R"({"incarnation":1,"clock_ms":2,"tasks":[{"task":"job-1/1","attempt":-1e30,"state":"running"}]})",
      R"({"incarnation":1,"clock_ms":2,"tasks":[{"task":"job-1/1","attempt":1,"state":"failed","exit_code":4294967296}]})",
      R"({"incarnation":1,"clock_ms":2,"tasks":[{"task":"job-1/1","attempt":1,"state":"running","used_memory_mib":1e19}]})");
  CHECK_FALSE(parseLeaseAnswer(body));
}

TEST_CASE("Only some refusals imply that a call had no effect", "[workers]") {
  CHECK(refusedWithoutEffect(
      leaseRefusalJson({"wrong_incarnation", "", 1, 1, 1})));
  CHECK(refusedWithoutEffect(leaseRefusalJson({"lease_over", "", 1, 1, 1})));
  // The HTTP client may have sent the call twice, and the first had an effect.
  CHECK_FALSE(
      refusedWithoutEffect(leaseRefusalJson({"stale_sequence", "", 1, 1, 1})));
  CHECK_FALSE(
      refusedWithoutEffect(leaseRefusalJson({"stale_epoch", "", 1, 1, 1})));
  CHECK_FALSE(refusedWithoutEffect("not JSON"));
}

TEST_CASE("An invalid announcement is refused with the field's name",
          "[workers]") {
  const auto fieldOf = [](const std::string &body) {
    protocol::WorkerAnnouncement announcement;
    const auto problem = readAnnouncement(body, "vm-1", announcement);
    return problem ? problem->Field : std::string();
  };
  CHECK(fieldOf(R"({"incarnation":1,"address":"10.0.0.1:80",
                    "milli_processors":1000,"memory_mib":512})")
            .empty());
  CHECK(fieldOf(R"({"incarnation":0,"address":"10.0.0.1:80",
                    "milli_processors":1000,"memory_mib":512})") ==
        "incarnation");
  CHECK(fieldOf(R"({"incarnation":1,"address":"here",
                    "milli_processors":1000,"memory_mib":512})") == "address");
  CHECK(fieldOf(R"({"incarnation":1,"address":"10.0.0.1:80",
                    "milli_processors":-1,"memory_mib":512})") ==
        "capacity.milli_processors");
  CHECK(fieldOf(R"({"incarnation":1e300,"address":"10.0.0.1:80",
                    "milli_processors":1000,"memory_mib":512})") == "body");
  CHECK(fieldOf(R"({"incarnation":1,"address":"10.0.0.1:80",
                    "milli_processors":1e30,"memory_mib":512})") == "body");
  CHECK(fieldOf("[") == "body");
}
