#include "masticwinch/common/saturating.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

namespace {

constexpr std::uint64_t Largest = std::numeric_limits<std::uint64_t>::max();

} // namespace

TEST_CASE("Sums and products that fit are exact", "[common]") {
  CHECK(saturatingAdd(2, 3) == 5);
  CHECK(saturatingAdd(Largest - 1, 1) == Largest);
  CHECK(saturatingMultiply(4, 5) == 20);
  CHECK(saturatingMultiply(0, Largest) == 0);
  CHECK(saturatingMultiply(1, Largest) == Largest);
}

TEST_CASE("Sums and products that don't fit are the largest number",
          "[common]") {
  CHECK(saturatingAdd(Largest, 1) == Largest);
  CHECK(saturatingMultiply(std::uint64_t(1) << 32, std::uint64_t(1) << 32) ==
        Largest);
}
