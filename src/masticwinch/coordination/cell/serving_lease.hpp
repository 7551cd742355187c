#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <map>

namespace masticwinch::cell {

/// The serving lease as tracked by its entry VM. It is counted from the time
/// when the answered hello was sent, so it ends here before it ends on the
/// leader's clock.
class ServingLease {
public:
  /// Records that a hello is sent now and returns its sequence number.
  std::uint64_t helloSent(SteadyTime now);

  /// Applies the leader's answer to a hello. Late and repeated answers never
  /// shorten the lease.
  void granted(std::uint64_t sequence, Milliseconds lease);

  /// Whether new work may be accepted now.
  bool valid(SteadyTime now) const { return now < ValidUntil; }

  /// When the lease ends.
  SteadyTime validUntil() const { return ValidUntil; }

  /// Sequence number of the latest hello.
  std::uint64_t latestHello() const { return LastSequence; }

private:
  static constexpr std::size_t MaxOutstanding = 32;

  std::uint64_t LastSequence = 0;
  std::map<std::uint64_t, SteadyTime> Outstanding;
  SteadyTime ValidUntil{};
};

} // namespace masticwinch::cell
