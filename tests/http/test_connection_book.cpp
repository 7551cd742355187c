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
