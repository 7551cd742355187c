#pragma once

#include "masticwinch/coordination/requests/request_effects.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

namespace masticwinch::fuzzing {

/// A guarantee to callers or upstreams was violated.
struct InvariantViolation : std::logic_error {
  using std::logic_error::logic_error;
};

/// Identifies one arrival of a request at one entry VM.
using ArrivalId = std::uint64_t;

/// A request as a caller sent it; resends with the same idempotency key share
/// `Logical`.
struct SentRequest {
  std::uint64_t Logical = 0;
  bool Repeatable = false;
  bool CallerDisconnected = false;
  bool EntryDied = false;
  bool Replied = false;
  bool ReportedNotRun = false;
};

/// Counts the executions at upstreams and checks every reply to a caller
/// against them.
class RequestOracle {
public:
  ArrivalId sent(std::uint64_t logical, bool repeatable) {
    Arrivals[++Last] = {logical, repeatable};
    return Last;
  }

  void callerDisconnected(ArrivalId id) {
    Arrivals.at(id).CallerDisconnected = true;
  }
  /// Whether the caller is still connected and has no reply yet.
  bool isWaiting(ArrivalId id) const {
    return !Arrivals.at(id).Replied && !Arrivals.at(id).CallerDisconnected;
  }

  void entryDied(ArrivalId id) { Arrivals.at(id).EntryDied = true; }

  /// Records that an upstream started to run the request.
  void executionStarted(ArrivalId id) {
    const SentRequest &request = Arrivals.at(id);
    const unsigned runs = ++Runs[request.Logical];
    require(request.Repeatable || runs == 1,
            "a request that isn't repeatable ran twice");
    require(!request.ReportedNotRun,
            "a request ran after it was reported as not run");
  }

  void replied(ArrivalId id, const ReplyToCaller &reply) {
    SentRequest &request = Arrivals.at(id);
    require(!request.Replied, "a caller got two replies");
    require(!request.CallerDisconnected, "a disconnected caller got a reply");
    request.Replied = true;
    if (reply.Outcome == RequestOutcome::NotRun) {
      request.ReportedNotRun = true;
      require(Runs[request.Logical] == 0,
              "a request that ran was reported as not run");
    }
    require((reply.Outcome == RequestOutcome::Answered) ==
                (reply.FullAnswer != nullptr),
            "a reply has an answer exactly if its outcome is answered");
    require(reply.FullAnswer == nullptr ||
                reply.FullAnswer->Body == bodyOf(request.Logical),
            "a caller got the answer to another request");
  }

  void checkSlotUse(const std::string &upstream, std::size_t used,
                    std::size_t slots) const {
    require(used <= slots, "more slots of " + upstream + " used than it has");
  }

  /// Checks that every caller got a reply, except those that disconnected and
  /// those whose entry VM died.
  void checkAllReplied() const {
    for (const auto &[id, it] : Arrivals) {
      require(it.Replied || it.CallerDisconnected || it.EntryDied,
              "a caller got no reply");
    }
  }

  static std::string bodyOf(std::uint64_t logical) {
    return "answer " + std::to_string(logical);
  }

  static void require(bool held, const std::string &guarantee) {
    if (!held) {
      throw InvariantViolation(guarantee);
    }
  }

private:
  ArrivalId Last = 0;
  std::map<ArrivalId, SentRequest> Arrivals;
  std::map<std::uint64_t, unsigned> Runs;
};

} // namespace masticwinch::fuzzing
