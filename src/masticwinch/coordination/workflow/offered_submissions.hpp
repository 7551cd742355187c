#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace masticwinch::workflow {

struct OfferedSubmissionsOptions {
  /// Most offers for which room is held; less than 3 MB with ids of the length
  /// that is valid.
  std::size_t MaxOffers = 4096;
  /// How long room is held for the whole submission. An entry VM's call lasts
  /// no longer than this.
  Milliseconds Hold{2000};
};

/// A submission whose payload the leader has asked for.
struct OfferedSubmission {
  std::string Id;
  std::uint32_t Priority = 0;
  /// Core-milliseconds of the whole workflow.
  std::uint64_t Work = 0;
};

/// The room held for submissions whose offers would be accepted, until the
/// whole submissions arrive. Without it, all offers of one round trip would be
/// told of the same room, and most of the whole submissions would be refused.
/// State machine without I/O; bounded by `MaxOffers`.
class OfferedSubmissions {
public:
  explicit OfferedSubmissions(OfferedSubmissionsOptions options = {})
      : Options(options) {}

  /// Holds room for a submission. While `MaxOffers` are held, the whole
  /// submission is evaluated like one without an offer.
  void add(const OfferedSubmission &submission, SteadyTime now);

  /// Ends the hold of a submission that has come again, whole or as an offer.
  /// Returns whether room for its work was held.
  bool take(const std::string &id, std::uint32_t priority, std::uint64_t work,
            SteadyTime now);

  /// Work that room is held for, in core-milliseconds, of this priority and of
  /// those before it.
  std::uint64_t workAhead(std::uint32_t priority) const;

  std::size_t size() const { return Held.size(); }

private:
  struct Hold {
    OfferedSubmission Submission;
    std::uint64_t Number = 0;
  };
  using HoldMap = std::unordered_map<std::string, Hold>;

  void expire(SteadyTime now);
  void end(HoldMap::iterator hold);

  OfferedSubmissionsOptions Options;
  HoldMap Held;
  /// The holds by the time of their end, with their numbers; also ended ones.
  std::deque<std::pair<SteadyTime, std::pair<std::string, std::uint64_t>>> Ends;
  std::uint64_t NextNumber = 1;
  std::map<std::uint32_t, std::uint64_t> WorkByPriority;
};

} // namespace masticwinch::workflow
