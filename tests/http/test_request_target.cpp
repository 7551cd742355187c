#include "masticwinch/http/internal/request_target.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch::internal;

TEST_CASE("A request target is split in origin form and in absolute form",
          "[http]") {
  const RequestTarget origin = splitTarget("/a/b?c=d?e");
  CHECK(origin.Authority.empty());
  CHECK(origin.Path == "/a/b");
  CHECK(origin.Query == "c=d?e");

  const RequestTarget absolute = splitTarget("HTTP://Host.example:80/a?b");
  CHECK(absolute.Authority == "Host.example:80");
  CHECK(absolute.Path == "/a");
  CHECK(absolute.Query == "b");

  CHECK(splitTarget("http://host").Path == "/");
  CHECK(splitTarget("http://host?q").Query == "q");
  CHECK(splitTarget("http://user@host/a").Authority == "host");
  CHECK(splitTarget("/a?b#c").Query == "b");
  CHECK(splitTarget("/a#c").Path == "/a");
  CHECK(splitTarget("*").Path == "*");
  CHECK(splitTarget("/http://host/").Path == "/http://host/");
}
