#include "masticwinch/coordination/workflow/offered_submissions.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr SteadyTime Start{std::chrono::seconds(100)};

/// A cell with one runner of 32 cores, none of whose runs end.

struct OfferedCell : LedCell {
  OfferedCell() { heartbeat(runnerOf("r"), 1, 1); }

  protocol::WorkflowAnswer send(const std::string &id, bool offer,
                                std::uint32_t tasks = 10,
                                std::uint32_t payloadBytes = 2400) {
    std::optional<protocol::WorkflowAnswer> answer;
    Leader.call(
        callOf(id, offer, tasks, payloadBytes),
        [&](const protocol::WorkflowAnswer &it) { answer = it; }, Now);
    pass(Milliseconds(0));
    REQUIRE(answer);
    return *answer;
  }

  static protocol::WorkflowCall callOf(const std::string &id, bool offer,
                                       std::uint32_t tasks,
                                       std::uint32_t payloadBytes) {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/sheets/" + id);
    call.set_timeout_ms(3000);
    *call.mutable_submit() = specOf(id, {stepOf(tasks)});
    if (offer) {
      call.mutable_submit()->clear_payload();
      call.set_offer(true);
      call.set_payload_bytes(payloadBytes);
    }
    return call;
  }

  /// Submits work until some is refused.
  void fill() {
    for (int i = 0; i < 9; ++i) {
      if (!accepts("00000000000000f" + std::to_string(i))) {
        return;
      }
    }
    FAIL("nothing is refused");
  }

  bool accepts(const std::string &id) {
    const bool accepted = send(id, false, 51).verdict() == protocol::VERDICT_OK;
    pass(SchedulingTime);
    return accepted;
  }
};

constexpr const char *Job = "00000000000000a1";
constexpr const char *Newcomer = "00000000000000a2";

} // namespace

TEST_CASE("Room is held for an offered submission until it comes or is lost",
          "[workflow]") {
  OfferedSubmissions offered;
  offered.add({Job, 1, 500}, Start);
  CHECK(offered.workAhead(0) == 0);
  CHECK(offered.workAhead(1) == 500);
  CHECK(offered.size() == 1);
  SECTION("it comes") {
    CHECK(offered.take(Job, 1, 500, Start + Milliseconds(1999)));
    CHECK_FALSE(offered.take(Job, 1, 500, Start));
  }
  SECTION("it comes with more work than was offered") {
    CHECK_FALSE(offered.take(Job, 1, 501, Start));
  }
  SECTION("it comes too late") {
    CHECK_FALSE(offered.take(Job, 1, 500, Start + Milliseconds(2000)));
  }
  CHECK(offered.workAhead(1) == 0);
  CHECK(offered.size() == 0);
}

TEST_CASE("A submission that is offered again holds its room once, from then "
          "on",
          "[workflow]") {
  OfferedSubmissions offered;
  offered.add({Job, 1, 500}, Start);
  offered.add({Job, 1, 500}, Start + Milliseconds(1000));
  CHECK(offered.workAhead(1) == 500);
  CHECK(offered.take(Job, 1, 500, Start + Milliseconds(2500)));
  CHECK(offered.workAhead(1) == 0);
}

TEST_CASE("The number of offers for which room is held is bounded",
          "[workflow]") {
  OfferedSubmissionsOptions options;
  options.MaxOffers = 4;
  OfferedSubmissions offered(options);
  for (int i = 0; i < 10; ++i) {
    offered.add({std::to_string(i), 0, 1}, Start);
  }
  CHECK(offered.size() == 4);
  CHECK(offered.workAhead(0) == 4);
}

TEST_CASE("An offer is asked for whole and stores nothing", "[workflow]") {
  OfferedCell cell;
  CHECK(cell.send(Job, true).verdict() == protocol::VERDICT_SEND_WHOLE);
  CHECK(cell.State.find(Job) == nullptr);
  CHECK(cell.send(Job, false).verdict() == protocol::VERDICT_OK);
  CHECK(cell.State.find(Job)->Spec.payload() ==
        std::string("payload of ") + Job);
}

// Guards against an untrue refusal after the answer to the first attempt was
// lost.
TEST_CASE("An offer of an accepted submission is answered as accepted before, "
          "although others are refused",
          "[workflow]") {
  OfferedCell cell;
  REQUIRE(cell.send(Job, false).verdict() == protocol::VERDICT_OK);
  cell.fill();
  REQUIRE(cell.send(Newcomer, true).verdict() == protocol::VERDICT_REFUSED);
  const protocol::WorkflowAnswer answer = cell.send(Job, true);
  CHECK(answer.verdict() == protocol::VERDICT_OK);
  CHECK(answer.reason() == "accepted before");
}

TEST_CASE("An offer of a submission that is being stored waits for it",
          "[workflow]") {
  OfferedCell cell;
  std::vector<protocol::WorkflowVerdict> answers;
  const auto call = [&](bool offer) {
    cell.Leader.call(
        OfferedCell::callOf(Job, offer, 1, 2400),
        [&](const protocol::WorkflowAnswer &it) {
          answers.push_back(it.verdict());
        },
        cell.Now);
  };
  call(false);
  call(true);
  CHECK(answers.empty());
  cell.pass(Milliseconds(0));
  CHECK(answers == std::vector{protocol::VERDICT_OK, protocol::VERDICT_OK});
}

TEST_CASE("An offer is invalid if its payload is too large", "[workflow]") {
  OfferedCell cell;
  CHECK(cell.send(Job, true, 1, 1000 * 1024).verdict() ==
        protocol::VERDICT_INVALID);
}

// Guards against submissions that are sent whole in vain because others were
// told of the same room meanwhile.
TEST_CASE("The room of an offer is kept from others until the whole submission "
          "comes",
          "[workflow]") {
  OfferedCell cell;
  // The runner's 32 cores, and one of the two seconds of slack or so.
  REQUIRE(cell.send("00000000000000f1", false, 32).verdict() ==
          protocol::VERDICT_OK);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.send(Job, true, 51).verdict() == protocol::VERDICT_SEND_WHOLE);
  std::size_t others = 0;
  for (int i = 0; i < 10; ++i) {
    const auto answer =
        cell.send("00000000000000b" + std::to_string(i), true, 51);
    others += answer.verdict() == protocol::VERDICT_SEND_WHOLE ? 1 : 0;
  }
  CHECK(others < 3);
  CHECK(cell.send(Job, false, 51).verdict() == protocol::VERDICT_OK);
  CHECK(cell.send("00000000000000bb", true, 51).verdict() ==
        protocol::VERDICT_REFUSED);
}

TEST_CASE("A turn that an offer gets is honoured when the submission is "
          "offered again and sent whole",
          "[workflow]") {
  OfferedCell cell;
  REQUIRE(cell.accepts("00000000000000f1"));
  REQUIRE(cell.accepts("00000000000000f2"));
  const protocol::WorkflowAnswer refused = cell.send(Job, true);
  REQUIRE(refused.verdict() == protocol::VERDICT_REFUSED);
  cell.pass(Milliseconds(refused.retry_after_ms()));
  REQUIRE(cell.send(Newcomer, true).verdict() == protocol::VERDICT_REFUSED);
  REQUIRE(cell.send(Job, true).verdict() == protocol::VERDICT_SEND_WHOLE);
  SECTION("it comes whole") {
    cell.pass(Milliseconds(100));
    CHECK(cell.send(Job, false).verdict() == protocol::VERDICT_OK);
  }
  SECTION("the answer is lost, and it is offered once more") {
    cell.pass(Milliseconds(500));
    CHECK(cell.send(Job, true).verdict() == protocol::VERDICT_SEND_WHOLE);
    CHECK(cell.send(Job, false).verdict() == protocol::VERDICT_OK);
  }
}

TEST_CASE("A new leader evaluates a whole submission that the former one has "
          "asked for",
          "[workflow]") {
  OfferedCell former;
  REQUIRE(former.send(Job, true).verdict() == protocol::VERDICT_SEND_WHOLE);
  OfferedCell next;
  SECTION("there is room") {
    CHECK(next.send(Job, false).verdict() == protocol::VERDICT_OK);
  }
  SECTION("there is none") {
    next.fill();
    CHECK(next.send(Job, false).verdict() == protocol::VERDICT_REFUSED);
    CHECK(next.State.find(Job) == nullptr);
  }
}
