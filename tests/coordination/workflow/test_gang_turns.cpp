#include "masticwinch/coordination/workflow/gang_turns.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

const std::size_t ForOne = GangTurnOptions().RunnersPerTurn;

SteadyTime at(Milliseconds time) { return SteadyTime(time); }

StepKey gang(const std::string &id) { return {id, 0, 0}; }

GangTurnRequest request(const std::string &id, Milliseconds slack) {
  return {gang(id), slack};
}

bool always(const StepKey &) { return true; }

} // namespace

TEST_CASE("A gang that needs half of what gangs may hold is wide",
          "[workflow]") {
  const GangTurns turns;
  CHECK(turns.isWide(50, 100));
  CHECK_FALSE(turns.isWide(49, 100));
}

TEST_CASE("The wide gang with the most slack has the first turn",
          "[workflow]") {
  GangTurns turns;
  turns.update({request("a", Milliseconds(100)),
                request("b", Milliseconds(300)),
                request("c", Milliseconds(200))},
               ForOne, always, at(Milliseconds(0)));
  CHECK(turns.has(gang("b")));
  CHECK(turns.size() == 1);
  CHECK(turns.waiting() == 2);
  turns.update(
      {request("a", Milliseconds(90)), request("c", Milliseconds(190)),
       request("d", Milliseconds(90))},
      ForOne, [](const StepKey &it) { return it != gang("b"); },
      at(Milliseconds(10)));
  CHECK_FALSE(turns.has(gang("b")));
  CHECK(turns.has(gang("c")));
}

TEST_CASE("The number of turns grows with the runners", "[workflow]") {
  const GangTurnOptions options;
  GangTurns turns(options);
  std::vector<GangTurnRequest> requests;
  for (char id = 'a'; id < 'k'; ++id) {
    requests.push_back(request({id}, Milliseconds(100)));
  }
  turns.update(requests, options.RunnersPerTurn - 1, always,
               at(Milliseconds(0)));
  CHECK(turns.size() == 0);
  turns.update(requests, 3 * options.RunnersPerTurn, always,
               at(Milliseconds(0)));
  CHECK(turns.size() == 3);
  CHECK(turns.waiting() == 7);
}

TEST_CASE("Few wide gangs that wait have few turns", "[workflow]") {
  GangTurns turns;
  const auto update = [&](std::size_t waiting) {
    std::vector<GangTurnRequest> requests;
    for (std::size_t i = 0; i < waiting; ++i) {
      requests.push_back(request(std::to_string(i), Milliseconds(100)));
    }
    turns.update(requests, 3 * ForOne, always, at(Milliseconds(0)));
    return turns.size();
  };
  CHECK(update(1) == 0);
  CHECK(update(2) == 1);
  CHECK(update(3) == 1);
  CHECK(update(4) == 2);
}

TEST_CASE("A turn ends after a while and pauses, so that others have theirs",
          "[workflow]") {
  const GangTurnOptions options;
  GangTurns turns(options);
  const auto update = [&](Milliseconds time) {
    turns.update({request("a", Milliseconds(300)),
                  request("b", Milliseconds(200)),
                  request("c", Milliseconds(100))},
                 ForOne, always, at(time));
  };
  update(Milliseconds(0));
  update(options.MaxTurn - Milliseconds(1));
  CHECK(turns.has(gang("a")));
  update(options.MaxTurn);
  CHECK_FALSE(turns.has(gang("a")));
  CHECK(turns.has(gang("b")));
  update(options.MaxTurn + options.MaxTurn);
  CHECK(turns.has(gang("a")));
}

TEST_CASE("A gang that asks no more keeps its turn while it waits",
          "[workflow]") {
  GangTurns turns;
  turns.update({request("a", Milliseconds(300)),
                request("b", Milliseconds(200)),
                request("c", Milliseconds(100))},
               ForOne, always, at(Milliseconds(0)));
  turns.update({}, ForOne, always, at(Milliseconds(10)));
  CHECK(turns.has(gang("a")));
}
