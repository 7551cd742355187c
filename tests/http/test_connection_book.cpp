#include "masticwinch/http/internal/connection_book.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::internal;

namespace {

SteadyTime at(int milliseconds) {
  return SteadyTime(Milliseconds(milliseconds));
}

std::optional<ConnectionBook::Id> longestWaiting(const ConnectionBook &book) {
  return book.longestWaiting([](ConnectionBook::Id) { return true; });
}

} // namespace

TEST_CASE("A connection waits from its opening or its last response on",
          "[http]") {
  ConnectionBook book;
  book.open(1, at(0));
  book.open(2, at(10));
  CHECK(longestWaiting(book) == 1U);
  book.received(1, 1, RequestPart::None, at(20));
  CHECK(longestWaiting(book) == 2U);
  book.received(2, 0, RequestPart::Head, at(30));
  CHECK(longestWaiting(book) == 2U);
  book.answered(1, at(40));
  CHECK(longestWaiting(book) == 2U);
  book.close(2);
  CHECK(longestWaiting(book) == 1U);
}

TEST_CASE("A connection waits only when all its whole requests are answered",
          "[http]") {
  ConnectionBook book;
  book.open(1, at(0));
  book.received(1, 2, RequestPart::Head, at(1));
  CHECK_FALSE(longestWaiting(book));
  book.answered(1, at(2));
  CHECK_FALSE(longestWaiting(book));
  book.answered(1, at(3));
  CHECK(longestWaiting(book) == 1U);
}

TEST_CASE("A connection to be closed stays if it gets a whole request",
          "[http]") {
  ConnectionBook book;
  book.open(1, at(0));
  book.beginClose(1, CloseReason::Room);
  CHECK(book.size() == 0);
  CHECK_FALSE(longestWaiting(book));
  CHECK_FALSE(book.received(1, 0, RequestPart::Head, at(1)));
  CHECK(book.isToBeClosed(1));
  CHECK(book.received(1, 1, RequestPart::None, at(2)));
  CHECK_FALSE(book.isToBeClosed(1));
  CHECK(book.size() == 1);
  book.answered(1, at(3));
  CHECK(longestWaiting(book) == 1U);
  CHECK_FALSE(book.close(1));
}

TEST_CASE("A closed connection states why it was closed", "[http]") {
  ConnectionBook book;
  book.open(1, at(0));
  book.beginClose(1, CloseReason::Room);
  CHECK(book.close(1) == CloseReason::Room);
  CHECK(book.size() == 0);
  CHECK_FALSE(book.close(1));
}

TEST_CASE("Each part of a request has a timeout of its own", "[http]") {
  const HttpTimeouts timeouts = {.Header = Milliseconds(10),
                                 .Body = Milliseconds(20),
                                 .Idle = Milliseconds(30)};
  ConnectionBook book;
  book.open(1, at(0));
  CHECK(book.expired(timeouts, at(30)).empty());
  CHECK(book.expired(timeouts, at(31)).front().second ==
        CloseReason::IdleTimeout);
  book.received(1, 0, RequestPart::Head, at(40));
  book.received(1, 0, RequestPart::Head, at(45));
  CHECK(book.expired(timeouts, at(50)).empty());
  CHECK(book.expired(timeouts, at(51)).front().second ==
        CloseReason::HeaderTimeout);
  book.received(1, 0, RequestPart::Body, at(50));
  CHECK(book.expired(timeouts, at(70)).empty());
  CHECK(book.expired(timeouts, at(71)).front().second ==
        CloseReason::BodyTimeout);
  book.received(1, 1, RequestPart::Head, at(72));
  CHECK(book.expired(timeouts, at(1000)).empty());
  book.answered(1, at(1000));
  CHECK(book.expired(timeouts, at(1010)).empty());
  CHECK(book.expired(timeouts, at(1011)).size() == 1);
  CHECK(book.expired({.Header = Milliseconds(0)}, at(100000)).empty());
}

TEST_CASE("A connection stays if its timeout no longer applies", "[http]") {
  ConnectionBook book;
  book.open(1, at(0));
  book.beginClose(1, CloseReason::IdleTimeout);
  CHECK(book.received(1, 0, RequestPart::Head, at(1)));
  book.beginClose(1, CloseReason::HeaderTimeout);
  CHECK_FALSE(book.received(1, 0, RequestPart::Head, at(2)));
  CHECK(book.received(1, 0, RequestPart::Body, at(3)));
  CHECK(longestWaiting(book) == 1U);
  book.beginClose(1, CloseReason::Room);
  CHECK_FALSE(book.received(1, 0, RequestPart::None, at(4)));
}

TEST_CASE("The end of a caller's bytes is held until all is answered",
          "[http]") {
  ConnectionBook book;
  book.open(1, at(0));
  CHECK_FALSE(book.holdEnd(1));
  book.received(1, 2, RequestPart::None, at(1));
  CHECK(book.holdEnd(1));
  CHECK_FALSE(book.answered(1, at(2)));
  CHECK(book.answered(1, at(3)));
  CHECK_FALSE(book.answered(1, at(4)));
}
