#include "masticwinch/coordination/workflow/size_ranks.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace masticwinch::workflow;

namespace {

SizeRanks ranksOfHundred() {
  SizeRanks ranks;
  for (std::uint64_t work = 1; work <= 100; ++work) {
    ranks.add("sheets", work);
  }
  return ranks;
}

} // namespace

TEST_CASE("Submissions are ranked by their work among those of their queue",
          "[workflow]") {
  const SizeRanks ranks = ranksOfHundred();
  CHECK(ranks.rank("sheets", 91) == SizeClass::LargestTenth);
  CHECK(ranks.rank("sheets", 90) == SizeClass::NextFifth);
  CHECK(ranks.rank("sheets", 71) == SizeClass::NextFifth);
  CHECK(ranks.rank("sheets", 70) == SizeClass::Rest);
  CHECK(ranks.rank("quotes", 1000) == SizeClass::Rest);
}

TEST_CASE("Submissions are ranked among the recent ones only", "[workflow]") {
  SizeRanks ranks = ranksOfHundred();
  for (std::size_t i = 0; i < SizeRanks::Window; ++i) {
    ranks.add("sheets", 1000);
  }
  CHECK(ranks.rank("sheets", 91) == SizeClass::Rest);
}

TEST_CASE("The first submissions of a queue are not ranked", "[workflow]") {
  SizeRanks ranks;
  for (std::size_t i = 1; i < SizeRanks::MinSubmissions; ++i) {
    ranks.add("sheets", 1);
  }
  CHECK(ranks.rank("sheets", 2) == SizeClass::Rest);
  ranks.add("sheets", 1);
  CHECK(ranks.rank("sheets", 2) == SizeClass::LargestTenth);
}

TEST_CASE("Sizes are ranked for a bounded number of queues", "[workflow]") {
  SizeRanks ranks;
  for (std::size_t i = 0; i < SizeRanks::MaxQueues; ++i) {
    ranks.add(std::to_string(i), 1);
  }
  for (std::size_t i = 0; i <= SizeRanks::MinSubmissions; ++i) {
    ranks.add("another", 1);
  }
  CHECK(ranks.rank("another", 2) == SizeClass::Rest);
}
