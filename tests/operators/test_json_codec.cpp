#include "masticwinch/operators/json_codec.hpp"
#include "masticwinch/protocol/cell.pb.h"

#include <catch2/catch.hpp>

using namespace masticwinch;

TEST_CASE("Strings are preserved when parsed from and written to JSON",
          "[operators]") {
  protocol::Upstream upstream;
  CHECK(operators::parseJson(
            R"({"name":"runner-1","address":"10.0.0.1:80","service":"prices"})",
            upstream)
            .empty());
  CHECK(upstream.name() == "runner-1");
  CHECK(upstream.service() == "prices");
  CHECK(operators::toJson(upstream).find("runner-1") != std::string::npos);
}

TEST_CASE("JSON that is not valid UTF-8 is rejected", "[operators]") {
  protocol::Upstream upstream;
  CHECK_FALSE(
      operators::parseJson("{\"name\":\"\xff\xfe\"}", upstream).empty());
}
