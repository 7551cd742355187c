#include "masticwinch/http/route.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

TEST_CASE("Route patterns match paths by segment", "[http]") {
  RouteMatch match;
  CHECK(matchRoute("/v1/profiles/{}", "/v1/profiles/sheet", match));
  CHECK(match == RouteMatch{"sheet"});
  CHECK_FALSE(matchRoute("/v1/profiles/{}", "/v1/profiles/", match));
  CHECK_FALSE(matchRoute("/v1/profiles/{}", "/v1/profiles", match));
  CHECK_FALSE(matchRoute("/v1/profiles/{}", "/v1/profiles/a/b", match));
  CHECK(matchRoute("/v1/services/{}/**", "/v1/services/quotes/a/b", match));
  CHECK(match == RouteMatch{"quotes", "/a/b"});
  CHECK(matchRoute("/v1/services/{}/**", "/v1/services/quotes", match));
  CHECK(match == RouteMatch{"quotes", ""});
  CHECK(matchRoute("/v1/profiles/{}", "/v1/profiles/a%2Fb%20c", match));
  CHECK(match == RouteMatch{"a/b c"});
  CHECK(matchRoute("/v1/services/{}/**", "/v1/services/quotes/a%2Fb", match));
  CHECK(match == RouteMatch{"quotes", "/a%2Fb"});
}
