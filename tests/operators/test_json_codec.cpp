#include "masticwinch/operators/json_codec.hpp"
#include "masticwinch/protocol/cell.pb.h"

#include <catch2/catch.hpp>

using namespace masticwinch;

TEST_CASE("Names in JSON are read and written as they are", "[operators]") {
  protocol::Upstream upstream;
  CHECK(operators::parseJson(
            R"({"name":"runner-1","address":"10.0.0.1:80","service":"prices"})",
            upstream)
            .empty());
  CHECK(upstream.name() == "runner-1");
  CHECK(upstream.service() == "prices");
  CHECK(operators::toJson(upstream).find("runner-1") != std::string::npos);
}

TEST_CASE("JSON that is no UTF-8 is refused", "[operators]") {
  protocol::Upstream upstream;
  CHECK_FALSE(
      operators::parseJson("{\"name\":\"\xff\xfe\"}", upstream).empty());
}
