#include "masticwinch/load/load_plan.hpp"
#include "masticwinch/load/load_request.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

namespace {

HttpCallResult answer(std::uint16_t status, std::string body,
                      HttpHeaders headers = {}) {
  HttpCallResult result;
  result.Outcome = HttpOutcome::Answered;
  result.Response = {status, std::move(headers), std::move(body)};
  return result;
}

} // namespace

TEST_CASE("Bodies have the stream's size and are unique", "[load]") {
  LoadStream stream;
  stream.Name = "lookups";
  stream.BodyBytes = 100;
  const std::string body = makeLoadBody(stream, 1, 2);
  CHECK(body.size() == 100);
  CHECK(body.starts_with("lookups-1-2;"));
  CHECK(body == makeLoadBody(stream, 1, 2));
  CHECK(body != makeLoadBody(stream, 1, 3));
  stream.BodyBytes = 0;
  CHECK(makeLoadBody(stream, 1, 2) == "lookups-1-2;");
}

TEST_CASE("Only a complete answer to the request counts as answered",
          "[load]") {
  LoadStream stream;
  CHECK(classifyLoadCall(stream, "a", answer(200, "a")) ==
        LoadOutcome::Answered);
  CHECK(classifyLoadCall(stream, "a", answer(200, "b")) ==
        LoadOutcome::WrongAnswer);
  CHECK(classifyLoadCall(stream, "a", answer(200, "")) ==
        LoadOutcome::WrongAnswer);
  CHECK(classifyLoadCall(stream, "a", answer(200, "runner=r\na")) ==
        LoadOutcome::Answered);
  for (const char *body : {"runner=r\nb", "runner=r\n", "a\nb", "\na\n"}) {
    CHECK(classifyLoadCall(stream, "a", answer(200, body)) ==
          LoadOutcome::WrongAnswer);
  }
  CHECK(classifyLoadCall(stream, "a", answer(503, "a")) ==
        LoadOutcome::ErrorStatus);
  const HttpHeaders notRun{{"Masticwinch-Outcome", "not_run"}};
  CHECK(classifyLoadCall(stream, "a", answer(503, "", notRun)) ==
        LoadOutcome::NotRun);
  stream.ExpectEcho = false;
  CHECK(classifyLoadCall(stream, "a", answer(200, "b")) ==
        LoadOutcome::Answered);
}

TEST_CASE("A timeout before the request was sent counts as not sent",
          "[load]") {
  HttpCallResult result;
  result.Outcome = HttpOutcome::TimedOut;
  CHECK(classifyLoadCall({}, "a", result) == LoadOutcome::TimedOut);
  result.MayHaveBeenSent = false;
  CHECK(classifyLoadCall({}, "a", result) == LoadOutcome::NotSent);
}

TEST_CASE("Without a key, only requests that were not run are resent",
          "[load]") {
  LoadStream stream;
  for (LoadOutcome it : {LoadOutcome::NotRun, LoadOutcome::NotSent}) {
    CHECK(mayResend(stream, it));
  }
  for (LoadOutcome it :
       {LoadOutcome::TimedOut, LoadOutcome::Broken, LoadOutcome::ErrorStatus}) {
    CHECK_FALSE(mayResend(stream, it));
    LoadStream keyed;
    keyed.IdempotencyKey = true;
    CHECK(mayResend(keyed, it));
  }
  stream.IdempotencyKey = true;
  CHECK_FALSE(mayResend(stream, LoadOutcome::Answered));
  CHECK_FALSE(mayResend(stream, LoadOutcome::WrongAnswer));
}
