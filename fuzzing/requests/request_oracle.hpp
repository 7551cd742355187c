#pragma once

#include "masticwinch/coordination/requests/request_effects.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

namespace masticwinch::fuzzing {

/// A promise to callers or upstreams that was broken.
struct InvariantViolation : std::logic_error {
  using std::logic_error::logic_error;
};

/// Names one arrival of a request at one entry VM.
using ArrivalId = std::uint64_t;

/// What a caller sent; resends of one key share `Logical`.
struct SentRequest {
  std::uint64_t Logical = 0;
  bool Repeatable = false;
  bool CallerDisconnected = false;
  bool EntryDied = false;
  bool Replied = false;
  bool SaidNotRun = false;
};

/// Counts what really ran, and checks what callers are told against it.
class RequestOracle {
public:
  ArrivalId sent(std::uint64_t logical, bool repeatable) {
    Arrivals[++Last] = {logical, repeatable};
    return Last;
  }

  void callerDisconnected(ArrivalId id) {
    Arrivals.at(id).CallerDisconnected = true;
  }
  /// Whether the caller still waits for its reply.
  bool waits(ArrivalId id) const {
    return !Arrivals.at(id).Replied && !Arrivals.at(id).CallerDisconnected;
  }

  void entryDied(ArrivalId id) { Arrivals.at(id).EntryDied = true; }

  /// An upstream began to run the request.
  void ran(ArrivalId id) {
    const SentRequest &request = Arrivals.at(id);
    const unsigned runs = ++Runs[request.Logical];
    require(request.Repeatable || runs == 1,
            "a request that isn't repeatable ran twice");
    require(!request.SaidNotRun, "a request ran after it was said not to");
  }

  void replied(ArrivalId id, const ReplyToCaller &reply) {
    SentRequest &request = Arrivals.at(id);
    require(!request.Replied, "a caller got two replies");
    require(!request.CallerDisconnected, "a caller that left got a reply");
    request.Replied = true;
    if (reply.Outcome == RequestOutcome::NotRun) {
      request.SaidNotRun = true;
      require(Runs[request.Logical] == 0, "not run was said of what ran");
    }
    require((reply.Outcome == RequestOutcome::Answered) ==
                (reply.FullAnswer != nullptr),
            "an answer is missing or came with another outcome");
    require(reply.FullAnswer == nullptr ||
                reply.FullAnswer->Body == bodyOf(request.Logical),
            "a caller got another's answer");
  }

  void slotsUsed(const std::string &upstream, std::size_t used,
                 std::size_t slots) const {
    require(used <= slots, "more than the slots of " + upstream + " used");
  }

  /// Every caller that waits has had its reply.
  void ended() const {
    for (const auto &[id, it] : Arrivals) {
      require(it.Replied || it.CallerDisconnected || it.EntryDied,
              "a caller got no reply");
    }
  }

  static std::string bodyOf(std::uint64_t logical) {
    return "answer " + std::to_string(logical);
  }

  static void require(bool held, const std::string &promise) {
    if (!held) {
      throw InvariantViolation(promise);
    }
  }

private:
  ArrivalId Last = 0;
  std::map<ArrivalId, SentRequest> Arrivals;
  std::map<std::uint64_t, unsigned> Runs;
};

} // namespace masticwinch::fuzzing
