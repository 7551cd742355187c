#include "masticwinch/http/internal/expectation_watch.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch::internal;

TEST_CASE("A client that waits for 100 Continue is recognized", "[http]") {
  const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nexpect:  "
                           "100-Continue\r\nContent-Length: 2\r\n\r\n";
  ExpectationWatch watch;
  SECTION("in one piece") { CHECK(watch.receive(head)); }
  SECTION("in two pieces") {
    CHECK_FALSE(watch.receive(head.substr(0, 30)));
    CHECK(watch.receive(head.substr(30)));
  }
  SECTION("after another request") {
    CHECK_FALSE(watch.receive("POST /a HTTP/1.1\r\n\r\n"));
    CHECK_FALSE(watch.receive("body"));
    CHECK(watch.receive(head));
  }
  SECTION("but not if it has sent the body") {
    CHECK_FALSE(watch.receive(head + "{}"));
  }
  SECTION("but not without the expectation") {
    CHECK_FALSE(watch.receive("POST /a HTTP/1.1\r\nX-Expect: "
                              "100-continue\r\n\r\n"));
  }
  SECTION("after a body of any length") {
    const std::size_t length = GENERATE(10, 17'000, 40'000);
    CHECK_FALSE(watch.receive(std::string(length, 'x')));
    CHECK(watch.receive(head));
  }
  SECTION("in one piece with the end of a body") {
    CHECK(watch.receive("POST /a HTTP/1.1\r\n\r\nbody" + head));
  }
  SECTION("but not in HTTP/1.0") {
    CHECK_FALSE(watch.receive("POST /a HTTP/1.0\r\nExpect: "
                              "100-continue\r\n\r\n"));
  }
}
