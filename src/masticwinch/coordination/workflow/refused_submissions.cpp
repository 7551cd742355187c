#include "masticwinch/coordination/workflow/refused_submissions.hpp"

#include "masticwinch/common/saturating.hpp"
#include "masticwinch/coordination/workflow/admission.hpp"

#include <algorithm>

namespace masticwinch::workflow {

std::int64_t RefusedSubmissions::intervalOf(SteadyTime at) {
  return at.time_since_epoch() / IntervalLength;
}

void RefusedSubmissions::end(TurnMap::iterator turn, bool taken) {
  const Turn &it = turn->second;
  const auto interval = Work.find(intervalOf(it.At));
  const auto sum = interval->second.find(it.Priority);
  sum->second -= it.Work;
  if (sum->second == 0) {
    interval->second.erase(sum);
  }
  if (interval->second.empty()) {
    Work.erase(interval);
  }
  ByTime.erase({it.At, turn->first});
  Turns.erase(turn);
  const std::uint64_t weight = Options.ShareWeightPermille;
  TakenPermille =
      (TakenPermille * (1000 - weight) + (taken ? 1000 : 0) * weight) / 1000;
}

void RefusedSubmissions::expire(SteadyTime now) {
  while (!ByTime.empty() && ByTime.begin()->first + Options.Grace < now) {
    end(Turns.find(ByTime.begin()->second), false);
  }
}

std::optional<Milliseconds>
RefusedSubmissions::untilTurn(const TurnRequest &request,
                              SteadyTime now) const {
  const auto it = Turns.find(request.Id);
  if (it == Turns.end() || request.Work > it->second.Work ||
      request.Priority != it->second.Priority ||
      it->second.At + Options.Grace < now) {
    return std::nullopt;
  }
  const auto left = std::chrono::ceil<Milliseconds>(it->second.At - now);
  return left <= Options.Allowance ? Milliseconds(0) : left;
}

Milliseconds RefusedSubmissions::untilRoom(std::uint32_t priority,
                                           const LoadAhead &load,
                                           SteadyTime now) const {
  std::uint64_t turns = 0;
  const auto wait = [&] {
    const std::uint64_t ahead = saturatingAdd(
        load.Work, saturatingMultiply(turns, TakenPermille) / 1000);
    return std::max(processingTime(ahead, load.MilliProcessors) - load.Slack,
                    Milliseconds(0));
  };
  Milliseconds room = wait();
  for (const auto &[interval, sums] : Work) {
    if (interval > intervalOf(now + room)) {
      break;
    }
    for (const auto &[itsPriority, work] : sums) {
      turns += itsPriority <= priority ? work : 0;
    }
    room = std::max(room, wait());
  }
  return room;
}

bool RefusedSubmissions::add(const TurnRequest &request, SteadyTime turn) {
  if (const auto held = Turns.find(request.Id); held != Turns.end()) {
    end(held, true);
  }
  if (Turns.size() >= Options.MaxTurns) {
    return false;
  }
  // A sum of 0 has no turn; a job without estimates counts as the least work.
  const std::uint64_t work = std::max<std::uint64_t>(request.Work, 1);
  Turns[request.Id] = {turn, request.Priority, work};
  ByTime.emplace(turn, request.Id);
  Work[intervalOf(turn)][request.Priority] += work;
  return true;
}

void RefusedSubmissions::take(const std::string &id) {
  if (const auto it = Turns.find(id); it != Turns.end()) {
    end(it, true);
  }
}

} // namespace masticwinch::workflow
