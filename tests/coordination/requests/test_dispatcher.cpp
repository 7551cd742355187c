#include "masticwinch/coordination/requests/claim_client.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/requests/dispatcher_fixture.hpp"

using namespace masticwinch;
using namespace masticwinch::testing;

namespace {

const auto Lookup =
    std::make_pair(std::string("lookup"), policyOf(protocol::URGENT, true));
const auto Billed =
    std::make_pair(std::string("billed"), policyOf(protocol::URGENT, false));
const auto Sheet =
    std::make_pair(std::string("sheet"), policyOf(protocol::PATIENT, true));

} // namespace

TEST_CASE("The caller gets the upstream's answer", "[requests][dispatcher]") {
  DispatcherFixture f({Lookup});
  f.arrive("lookup");
  REQUIRE(f.Starts.size() == 1);

  f.end(f.Starts[0].Number, DispatchResult::Answered);

  REQUIRE(f.Replies.size() == 1);
  CHECK(f.Replies[0].Outcome == RequestOutcome::Answered);
  CHECK(f.Replies[0].FullAnswer->Body == "body");
  CHECK(f.Replies[0].Attempts == 1);
  CHECK(f.EntryDispatcher.idle());
}

TEST_CASE("A non-repeatable request is not retried once bytes were sent",
          "[requests][dispatcher]") {
  const auto result =
      GENERATE(DispatchResult::Broken, DispatchResult::TimedOut);
  DispatcherFixture f({Billed});
  f.arrive("billed");
  CHECK(f.Starts.at(0).FreshConnection);

  f.end(f.Starts.at(0).Number, result);
  f.advance(Milliseconds(500));

  CHECK(f.Starts.size() == 1);
  REQUIRE(f.Replies.size() == 1);
  CHECK(f.Replies[0].Outcome == RequestOutcome::Unknown);
}

TEST_CASE("A request that provably did not run is sent to another upstream",
          "[requests][dispatcher]") {
  const auto result =
      GENERATE(DispatchResult::NotSent, DispatchResult::RefusedNotRun);
  DispatcherFixture f({Billed});
  f.arrive("billed");
  f.end(f.Starts.at(0).Number, result);
  CHECK(f.Replies.empty());

  f.advance(Milliseconds(100));

  REQUIRE(f.Starts.size() == 2);
  CHECK(f.Starts[0].Upstream != f.Starts[1].Upstream);
}

TEST_CASE("A request that no upstream accepted ends as not run",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed});
  f.arrive("billed");
  for (std::size_t i = 0; i < 3; ++i) {
    f.advance(Milliseconds(100));
    REQUIRE(f.Starts.size() == i + 1);
    f.end(f.Starts[i].Number, DispatchResult::NotSent);
  }
  REQUIRE(f.Replies.size() == 1);
  CHECK(f.Replies[0].Outcome == RequestOutcome::NotRun);
  CHECK(f.Replies[0].RetryAfter > Milliseconds(0));
  CHECK(f.Replies[0].Attempts == 3);
}

TEST_CASE("A slot stays in use after a timeout until its dispatch has ended",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed}, 1, 1);
  f.arrive("billed");
  f.advance(Milliseconds(600));
  f.arrive("billed");
  f.advance(Milliseconds(400));
  CHECK(f.Cancels.size() == 1);
  CHECK(f.Replies.size() == 1);
  CHECK(f.Starts.size() == 1);

  f.end(f.Cancels.at(0), DispatchResult::Cancelled);

  CHECK(f.Starts.size() == 2);
}

TEST_CASE("A request with a key is dispatched only after its claim is granted",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed});
  const RequestNumber number = f.arrive("billed", "k");
  CHECK(f.Starts.empty());
  REQUIRE(f.Claims.size() == 1);

  SECTION("granted") {
    f.claim(number, protocol::CLAIM_GRANTED);
    REQUIRE(f.Starts.size() == 1);
    f.end(f.Starts[0].Number, DispatchResult::Answered);
    CHECK(f.Claims.at(1).complete().answer().body() == "body");
  }
  SECTION("granted after the caller disconnected") {
    f.EntryDispatcher.callerDisconnected(number, f.now());
    f.claim(number, protocol::CLAIM_GRANTED);
    CHECK(f.Starts.empty());
    CHECK(f.Replies.empty());
    CHECK(f.Claims.at(1).has_release());
  }
  SECTION("granted after the deadline") {
    f.advance(Milliseconds(1000));
    CHECK(f.Replies.at(0).Outcome == RequestOutcome::Unknown);
    f.claim(number, protocol::CLAIM_GRANTED);
    CHECK(f.Starts.empty());
    CHECK(f.Claims.at(1).has_release());
  }
  SECTION("in progress elsewhere") {
    const SteadyTime arrivedAt = f.now();
    for (std::size_t answered = 0; f.Replies.empty();) {
      REQUIRE(f.now() <= arrivedAt + Milliseconds(250));
      if (f.Claims.size() > answered) {
        ++answered;
        f.claim(number, protocol::CLAIM_IN_PROGRESS);
      } else {
        f.advance(Milliseconds(10));
      }
    }
    CHECK(f.Claims.size() > 1);
    CHECK(f.Starts.empty());
    CHECK(f.Replies.at(0).Reason == RefusalReason::InProgress);
    CHECK(f.Replies.at(0).Outcome == RequestOutcome::Unknown);
  }
  CHECK((f.EntryDispatcher.idle() || !f.Starts.empty()));
}

// Guards against a resend that is answered as in progress although its caller
// already has the reply of the earlier request, whose claim ends a little
// later.
TEST_CASE("A resend right after the reply doesn't find its key in progress",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed});
  const RequestNumber number = f.arrive("billed", "k");
  f.claim(number, protocol::CLAIM_IN_PROGRESS);
  CHECK(f.Replies.empty());
  f.advance(Milliseconds(20));
  REQUIRE(f.Claims.size() == 2);
  CHECK(f.Claims[1].claim().owner().request() == number);

  SECTION("the earlier request was not run") {
    f.claim(number, protocol::CLAIM_GRANTED);
    REQUIRE(f.Starts.size() == 1);
    f.end(f.Starts[0].Number, DispatchResult::Answered);
    CHECK(f.Replies.at(0).Outcome == RequestOutcome::Answered);
  }
  SECTION("the caller disconnects between two claims") {
    f.claim(number, protocol::CLAIM_IN_PROGRESS);
    f.EntryDispatcher.callerDisconnected(number, f.now());
    f.advance(Milliseconds(100));
    CHECK(f.Claims.size() == 2);
    CHECK(f.EntryDispatcher.idle());
  }
  SECTION("the serving lease is lost between two claims") {
    f.claim(number, protocol::CLAIM_IN_PROGRESS);
    f.EntryDispatcher.fence(f.now());
    f.collect();
    CHECK(f.Replies.at(0).Outcome == RequestOutcome::Unknown);
    CHECK(f.EntryDispatcher.idle());
  }
  SECTION("the deadline passes first") {
    f.advance(Milliseconds(1000));
    CHECK(f.Replies.at(0).Outcome == RequestOutcome::Unknown);
    f.claim(number, protocol::CLAIM_GRANTED);
    CHECK(f.Claims.at(2).has_release());
  }
}

// Guards against a batch of claims that is too large for the log and behind
// which no claim of the entry VM is ever stored.
TEST_CASE("A claim is completed without an answer that is too long to be kept",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed});
  const RequestNumber number = f.arrive("billed", "k");
  f.claim(number, protocol::CLAIM_GRANTED);
  const auto answer = std::make_shared<const Answer>(
      Answer{200, "text", std::string(1024 * 1024, 'x')});
  f.EntryDispatcher.dispatchEnded(f.Starts.at(0).Number,
                                  DispatchResult::Answered, answer, f.now());
  f.collect();
  CHECK(f.Replies.at(0).FullAnswer == answer);
  const protocol::StoredAnswer &kept = f.Claims.at(1).complete().answer();
  CHECK(kept.body().empty());
  CHECK(kept.not_kept());
  CHECK(kept.status() == 200);
}

TEST_CASE("A batch of claims ends when it is full", "[requests]") {
  ClaimClient client({"a", 1}, Milliseconds(100));
  constexpr std::size_t Changes = 2 * ClaimClient::MaxBatch;
  for (std::size_t i = 0; i < Changes; ++i) {
    ChangeClaim change{i, {}};
    change.Change.mutable_complete()->mutable_answer()->set_body(
        std::string(4096, 'x'));
    client.add(change);
  }
  std::size_t sent = 0;
  while (const auto batch = client.due(SteadyTime{})) {
    CHECK(batch->ByteSizeLong() < 512 * 1024);
    sent += std::size_t(batch->changes_size());
    client.acknowledged(batch->number());
  }
  CHECK(sent == Changes);
}

TEST_CASE("Waiting requests end as not run when the serving lease is lost",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed}, 1, 1);
  f.arrive("billed");
  f.arrive("billed");
  f.EntryDispatcher.fence(f.now());
  f.collect();
  REQUIRE(f.Replies.size() == 1);
  CHECK(f.Replies[0].Outcome == RequestOutcome::NotRun);

  f.arrive("billed");
  CHECK(f.Replies.at(1).Reason == RefusalReason::NotServing);
  f.end(f.Starts.at(0).Number, DispatchResult::Answered);
  CHECK(f.Replies.at(2).Outcome == RequestOutcome::Answered);
  CHECK(f.Starts.size() == 1);
}

TEST_CASE("Urgent requests find a slot while patient requests wait",
          "[requests][dispatcher]") {
  DispatcherFixture f({Lookup, Sheet}, 1, 4);
  for (int i = 0; i < 10; ++i) {
    f.arrive("sheet");
  }
  CHECK(f.Starts.size() == 3);

  const RequestNumber lookup = f.arrive("lookup");

  REQUIRE(f.Starts.size() == 4);
  CHECK(f.Starts[3].Request == lookup);
}

TEST_CASE("Patient requests are not starved by urgent ones",
          "[requests][dispatcher]") {
  DispatcherFixture f({Lookup, Sheet}, 1, 1);
  const RequestNumber first = f.arrive("lookup");
  const RequestNumber sheet = f.arrive("sheet");
  for (int i = 0; i < 20; ++i) {
    f.arrive("lookup");
  }
  REQUIRE(f.Starts.at(0).Request == first);
  bool served = false;
  for (std::size_t i = 0; i < 10 && !served; ++i) {
    f.end(f.Starts.at(i).Number, DispatchResult::Answered);
    served = f.Starts.at(i + 1).Request == sheet;
  }
  CHECK(served);
}

TEST_CASE("A full queue refuses requests with a Retry-After time",
          "[requests][dispatcher]") {
  auto small = Billed;
  small.second.set_queue_length(1);
  DispatcherFixture f({small}, 1, 1);
  f.arrive("billed");
  f.arrive("billed");
  f.arrive("billed");
  REQUIRE(f.Replies.size() == 1);
  CHECK(f.Replies[0].Reason == RefusalReason::QueueFull);
  CHECK(f.Replies[0].Outcome == RequestOutcome::NotRun);
  CHECK(f.Replies[0].RetryAfter > Milliseconds(0));
}

TEST_CASE("A rate limit refuses requests until its Retry-After time has passed",
          "[requests][dispatcher]") {
  auto limited = Billed;
  limited.second.set_rate_per_second(1);
  DispatcherFixture f({limited}, 1, 8);
  f.arrive("billed");
  f.arrive("billed");
  REQUIRE(f.Replies.size() == 1);
  CHECK(f.Replies[0].Reason == RefusalReason::RateLimit);
  f.advance(f.Replies[0].RetryAfter);
  f.arrive("billed");
  CHECK(f.Starts.size() == 2);
}

TEST_CASE("A request that can't meet its deadline is refused early",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed}, 1, 1);
  f.arrive("billed");
  f.Clock.advance(Milliseconds(400));
  f.end(f.Starts.at(0).Number, DispatchResult::Answered);
  for (int i = 0; i < 5; ++i) {
    f.arrive("billed");
  }
  REQUIRE(f.Replies.size() >= 2);
  CHECK(f.Replies[1].Reason == RefusalReason::DeadlineUnmeetable);
}

TEST_CASE(
    "Slow requests of a patient profile don't cause urgent ones to be refused",
    "[requests][dispatcher]") {
  auto slow = Sheet;
  slow.second.set_deadline_ms(60'000);
  DispatcherFixture f({Lookup, slow}, 1, 2);
  f.arrive("sheet");
  f.Clock.advance(Milliseconds(30'000));
  f.end(f.Starts.at(0).Number, DispatchResult::Answered);
  f.arrive("sheet");
  for (int i = 0; i < 3; ++i) {
    f.arrive("lookup");
  }
  CHECK(f.Replies.size() == 1);
}

TEST_CASE("A request isn't dispatched when too little of its deadline is left",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed}, 1, 1);
  f.arrive("billed");
  f.Clock.advance(Milliseconds(200));
  f.end(f.Starts.at(0).Number, DispatchResult::Answered);
  f.arrive("billed");
  f.arrive("billed");
  f.advance(Milliseconds(700));
  REQUIRE(f.Replies.size() == 2);
  CHECK(f.Replies[1].Outcome == RequestOutcome::NotRun);
  f.end(f.Starts.at(1).Number, DispatchResult::Answered);
  CHECK(f.Starts.size() == 2);
}

TEST_CASE("An upstream that fails immediately does not attract more load",
          "[requests][dispatcher]") {
  DispatcherFixture f({Lookup}, 4, 8);
  std::size_t toBroken = 0;
  for (int i = 0; i < 100; ++i) {
    f.arrive("lookup");
    const StartDispatch start = f.Starts.back();
    const bool broken = start.Upstream == "u0";
    toBroken += broken ? 1 : 0;
    f.Clock.advance(Milliseconds(broken ? 0 : 5));
    f.end(start.Number,
          broken ? DispatchResult::Broken : DispatchResult::Answered);
  }
  CHECK(f.EntryDispatcher.counts(f.now()).Ejected == 1);
  CHECK(toBroken < 20);
}

TEST_CASE("Failures of an upstream's former incarnation don't eject the next "
          "one",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed}, 2, 8);
  std::vector<DispatchNumber> toFormer;
  while (toFormer.size() < EjectionRules().ConsecutiveFailures) {
    f.arrive("billed");
    if (f.Starts.back().Upstream == "u0") {
      toFormer.push_back(f.Starts.back().Number);
    }
  }
  f.Config.upstream("u0", 8, 2);
  f.EntryDispatcher.configure(f.Config.take(), f.now());
  for (const DispatchNumber it : toFormer) {
    f.end(it, DispatchResult::Broken);
  }
  CHECK(f.EntryDispatcher.counts(f.now()).Ejected == 0);
}

TEST_CASE("An answer of an upstream's former incarnation doesn't end the "
          "ejection of the next one",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed}, 2, 8);
  const auto dispatchTo = [&f](const std::string &upstream) {
    do {
      f.arrive("billed");
    } while (f.Starts.back().Upstream != upstream);
    return f.Starts.back().Number;
  };
  const DispatchNumber toFormer = dispatchTo("u0");
  f.Config.upstream("u0", 8, 2);
  f.EntryDispatcher.configure(f.Config.take(), f.now());
  std::vector<DispatchNumber> toNext;
  while (toNext.size() < EjectionRules().ConsecutiveFailures) {
    toNext.push_back(dispatchTo("u0"));
  }
  for (const DispatchNumber it : toNext) {
    f.end(it, DispatchResult::Broken);
  }
  REQUIRE(f.EntryDispatcher.counts(f.now()).Ejected == 1);
  f.end(toFormer, DispatchResult::Answered);
  CHECK(f.EntryDispatcher.counts(f.now()).Ejected == 1);
}

TEST_CASE("A slow repeatable request is sent to a second upstream",
          "[requests][dispatcher]") {
  auto hedged = Lookup;
  hedged.second.set_hedge_after_ms(50);
  DispatcherFixture f({hedged});
  f.arrive("lookup");
  f.advance(Milliseconds(50));
  REQUIRE(f.Starts.size() == 2);
  CHECK(f.Starts[0].Upstream != f.Starts[1].Upstream);

  f.end(f.Starts[1].Number, DispatchResult::Answered);
  CHECK(f.Replies.size() == 1);
  CHECK(f.Cancels == std::vector<DispatchNumber>{f.Starts[0].Number});
}

TEST_CASE("The waiting request of a disconnected caller is dropped",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed}, 1, 1);
  f.arrive("billed");
  const RequestNumber waiting = f.arrive("billed");
  f.EntryDispatcher.callerDisconnected(waiting, f.now());
  f.end(f.Starts.at(0).Number, DispatchResult::Answered);
  CHECK(f.Starts.size() == 1);
  CHECK(f.Replies.size() == 1);
  CHECK(f.EntryDispatcher.idle());
}

TEST_CASE("Unknown profiles and draining have their own refusal reasons",
          "[requests][dispatcher]") {
  DispatcherFixture f({Billed});
  f.arrive("other");
  CHECK(f.Replies.at(0).Reason == RefusalReason::UnknownProfile);
  f.arrive("billed");
  f.EntryDispatcher.drain();
  f.arrive("billed");
  CHECK(f.Replies.at(1).Reason == RefusalReason::Draining);
  f.end(f.Starts.at(0).Number, DispatchResult::Answered);
  CHECK(f.Replies.at(2).Outcome == RequestOutcome::Answered);
}
