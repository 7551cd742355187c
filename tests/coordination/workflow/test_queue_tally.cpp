#include "masticwinch/coordination/workflow/queue_tally.hpp"

#include <catch2/catch.hpp>

#include <string>

using masticwinch::workflow::QueueTally;

TEST_CASE("A tally counts by queue since the last report", "[workflow]") {
  QueueTally tally;
  tally.accepted("sheets");
  tally.assigned("sheets");
  tally.assigned("sheets");
  tally.refused("quotes");
  const auto counts = tally.take();
  CHECK(counts.at("sheets").Accepted == 1);
  CHECK(counts.at("sheets").Assigned == 2);
  CHECK(counts.at("quotes").Refused == 1);
  CHECK(tally.take().empty());
}

TEST_CASE("A tally holds a bounded number of queues", "[workflow]") {
  QueueTally tally;
  for (std::size_t i = 0; i <= QueueTally::MaxQueues; ++i) {
    tally.refused(std::to_string(i));
  }
  CHECK(tally.take().size() == QueueTally::MaxQueues);
}
