#include "masticwinch/http/http_client.hpp"
#include "masticwinch/programs/daemon_options.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using programs::descriptorsForCallers;

TEST_CASE("Callers leave descriptors to files, calls and closing connections",
          "[http]") {
  const std::uint64_t limit = GENERATE(2048, 4200, 100000);
  const std::uint64_t others = limit - descriptorsForCallers(limit);
  CHECK(others >= limit / HttpClientDescriptorDivisor + 200 +
                      ConnectionsInPassing + MaxLingeringConnections);
  CHECK(descriptorsForCallers(limit) > limit / 2);
}

TEST_CASE("Callers may use half of few descriptors", "[http]") {
  CHECK(descriptorsForCallers(1024) == 512);
  CHECK(descriptorsForCallers(16) == 8);
}
