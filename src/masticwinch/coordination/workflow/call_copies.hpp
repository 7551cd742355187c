#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <string>

namespace masticwinch::workflow {

/// The copies of one call that an entry VM has sent to leaders. Decides when a
/// copy counts as lost and is sent again, and whether one may still have an
/// effect.
///
/// Messages between two processes arrive in order or are lost. Once a leader
/// has answered a hello that was sent after a copy, the copy has been handled
/// or is lost. Before that it may just be waiting for a busy leader, and
/// another copy would add to what it has to do.
class CallCopies {
public:
  /// Records a copy sent to a leader, after the hello with this number.
  void sent(const std::string &leader, std::uint64_t hello, SteadyTime now) {
    Leader = leader;
    Hello = hello;
    SentAt = now;
    Unanswered += 1;
  }

  /// Whether a copy is to be sent to this leader, of which `answeredHello` is
  /// the latest hello that it answered.
  bool isDue(const std::string &leader, std::uint64_t answeredHello,
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
    if (receiver == Leader) {
      Leader.clear();
    }
  }

  /// Whether the latest copy was sent to this process, so that its answer is
  /// that of the latest leader.
  bool isLatestAt(const std::string &address) const {
    return !Leader.empty() && Leader == address;
  }

  /// Whether a copy without an answer may have an effect, now or later.
  bool mayHaveEffect() const { return Unanswered > 0; }

private:
  /// Receiver of the latest copy; empty if there is none.
  std::string Leader;
  /// The latest hello that was sent before the latest copy.
  std::uint64_t Hello = 0;
  SteadyTime SentAt{};
  std::uint32_t Unanswered = 0;
};

} // namespace masticwinch::workflow
