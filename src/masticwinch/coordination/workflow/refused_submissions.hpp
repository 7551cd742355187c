#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace masticwinch::workflow {

struct RefusedSubmissionsOptions {
  /// Maximum number of turns held at the same time; less than 2 MB with ids of
  /// the length that is valid.
  std::size_t MaxTurns = 4096;
  /// A submission may return this much before its turn.
  Milliseconds Allowance{20};
  /// How long after its turn a submission may return. Callers are told whole
  /// seconds, rounded up, so that those who honour them return up to a second
  /// after their turn.
  Milliseconds Grace{2000};
  /// Weight of a turn that ends in the share of turns that are taken, in
  /// thousandths.
  std::uint64_t ShareWeightPermille = 20;
};

/// A submission that asks to be let in.
struct TurnRequest {
  std::string Id;
  std::uint32_t Priority = 0;
  /// Core-milliseconds.
  std::uint64_t Work = 0;
};

/// Accepted work that is scheduled before a submission.
struct LoadAhead {
  /// Core-milliseconds.
  std::uint64_t Work = 0;
  /// Thousandths of a core that work can use; not 0.
  std::uint64_t MilliProcessors = 1;
  /// How long the submission may wait.
  Milliseconds Slack{0};
};

/// Turns of refused submissions: the times at which they are expected to be let
/// in. Room that is expected for a turn is not given to submissions that come
/// for the first time, and a submission that returns before its turn keeps it
/// unchanged, so that whoever returns when told gets as much as whoever returns
/// all the time. Some callers never return; the room kept for a turn is
/// therefore reduced to the share of turns that were taken lately. State
/// machine without I/O; bounded by `MaxTurns`.
class RefusedSubmissions {
public:
  explicit RefusedSubmissions(RefusedSubmissionsOptions options = {})
      : Options(options) {}

  /// Drops the turns whose time is over.
  void expire(SteadyTime now);

  /// Time until the turn of a submission, 0 if it may be let in now; nothing if
  /// it holds none, or asks for more than it got its turn for.
  std::optional<Milliseconds> untilTurn(const TurnRequest &request,
                                        SteadyTime now) const;

  /// Time until there is room for a submission without a turn behind the
  /// accepted work and the turns before it; 0 if there is room now.
  Milliseconds untilRoom(std::uint32_t priority, const LoadAhead &load,
                         SteadyTime now) const;

  /// Gives a submission a turn. Returns false if it can't hold one.
  bool add(const TurnRequest &request, SteadyTime turn);

  /// Ends the turn of a submission that has returned.
  void take(const std::string &id);

  std::size_t size() const { return Turns.size(); }

private:
  struct Turn {
    SteadyTime At{};
    std::uint32_t Priority = 0;
    std::uint64_t Work = 0;
  };
  using TurnMap = std::map<std::string, Turn>;

  /// Turns are summed by intervals of this length, so that a decision takes a
  /// number of steps that doesn't grow with the number of turns.
  static constexpr Milliseconds IntervalLength{100};

  static std::int64_t intervalOf(SteadyTime at);
  void end(TurnMap::iterator turn, bool taken);

  RefusedSubmissionsOptions Options;
  TurnMap Turns;
  std::set<std::pair<SteadyTime, std::string>> ByTime;
  /// Work of the turns by interval and priority.
  std::map<std::int64_t, std::map<std::uint32_t, std::uint64_t>> Work;
  /// Share of turns that were taken, in thousandths; at first unknown.
  std::uint64_t TakenPermille = 500;
};

} // namespace masticwinch::workflow
