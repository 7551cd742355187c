#include "masticwinch/events/event_log.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

TEST_CASE("Empty values and values with special characters are quoted",
          "[events]") {
  CHECK(quoteEventValue("plain/value=1") == "plain/value=1");
  CHECK(quoteEventValue("") == "\"\"");
  CHECK(quoteEventValue("two words") == "\"two words\"");
  CHECK(quoteEventValue("a\"b\\c\n") == "\"a\\\"b\\\\c\\n\"");
  CHECK(quoteEventValue("\x01") == "\"\\x01\"");
}
