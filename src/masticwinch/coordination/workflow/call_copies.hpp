#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace masticwinch::workflow {

/// A process that leads in one term.
struct LeaderOfTerm {
  std::string Address;
  /// 0 if it hasn't stated its term.
  std::uint64_t Term = 0;

  bool operator==(const LeaderOfTerm &) const = default;
};

/// The copies of one call that an entry VM has sent to leaders. Decides when a
/// copy counts as lost and is sent again, and whether one may still have an
/// effect.
///
/// Messages between two processes arrive in order or are lost. Once a leader
/// has answered a hello that was sent after a copy, the copy has been handled
/// or is lost. Before that it may just be waiting for a busy leader, and
/// another copy would add to what it has to do. A leader handles only copies
/// that were sent to it in its present term, so that those which another one or
/// an earlier term left behind have no effect.
class CallCopies {
public:
  /// Records a copy sent to a leader, after the hello with this number.
  void sent(LeaderOfTerm leader, std::uint64_t hello, SteadyTime now) {
    Leader = std::move(leader);
    Hello = hello;
    SentAt = now;
    Unanswered += 1;
  }

  /// Whether a copy is to be sent to this leader, of which `answeredHello` is
  /// the latest hello that it answered.
  bool isDue(const LeaderOfTerm &leader, std::uint64_t answeredHello,
             Milliseconds resendAfter, SteadyTime now) const {
    return Leader != leader ||
           (answeredHello > Hello && now - SentAt >= resendAfter);
  }

  /// Records that a copy was answered and has no effect. None becomes due.
  void hadNoEffect() { Unanswered -= Unanswered > 0 ? 1 : 0; }

  /// Records that a copy was answered and has no effect, because its receiver
  /// doesn't lead or asks for another copy. If it was the latest one, another
  /// is due at once.
  void notHandled(const std::string &receiver) {
    hadNoEffect();
    if (receiver == Leader.Address) {
      Leader = {};
    }
  }

  /// Whether the latest copy was sent to this process, so that its answer is
  /// that of the latest leader.
  bool isLatestAt(const std::string &address) const {
    return !Leader.Address.empty() && Leader.Address == address;
  }

  /// Whether a copy without an answer may have an effect, now or later.
  bool mayHaveEffect() const { return Unanswered > 0; }

private:
  /// Receiver of the latest copy; empty if there is none.
  LeaderOfTerm Leader;
  /// The latest hello that was sent before the latest copy.
  std::uint64_t Hello = 0;
  SteadyTime SentAt{};
  std::uint32_t Unanswered = 0;
};

} // namespace masticwinch::workflow
