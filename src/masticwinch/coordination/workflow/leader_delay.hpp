#pragma once

#include "masticwinch/common/clock.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace masticwinch::workflow {

/// Estimates how long a message to the leader takes until its answer arrives,
/// from the hellos that it has answered and those that it has not. Since calls
/// wait in the same queue as hellos, this tells how busy the leader is.
class LeaderDelay {
public:
  /// Records that a hello was sent; numbers increase.
  void sent(std::uint64_t hello, SteadyTime now) {
    Unanswered.push_back({hello, now});
    if (Unanswered.size() > MaxUnanswered) {
      Unanswered.pop_front();
    }
  }

  /// Records that the leader answered a hello. Earlier ones are lost, or were
  /// answered before.
  void answered(std::uint64_t hello, SteadyTime now) {
    while (!Unanswered.empty() && Unanswered.front().Number <= hello) {
      if (Unanswered.front().Number == hello) {
        Latest = now - Unanswered.front().SentAt;
      }
      Unanswered.pop_front();
    }
  }

  /// Forgets the delay of a former leader.
  void reset() { Latest = {}; }

  Milliseconds estimate(SteadyTime now) const {
    const SteadyTime::duration waiting = Unanswered.empty()
                                             ? SteadyTime::duration{}
                                             : now - Unanswered.front().SentAt;
    return std::chrono::duration_cast<Milliseconds>(std::max(Latest, waiting));
  }

private:
  /// Most hellos that are kept; the oldest are dropped.
  static constexpr std::size_t MaxUnanswered = 64;

  struct Hello {
    std::uint64_t Number = 0;
    SteadyTime SentAt{};
  };

  std::deque<Hello> Unanswered;
  SteadyTime::duration Latest{};
};

} // namespace masticwinch::workflow
