#include "masticwinch/coordination/workflow/offered_submissions.hpp"

#include "masticwinch/common/saturating.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

template <class Sums, class Key>
void subtract(Sums &sums, const Key &key, std::uint64_t amount) {
  const auto it = sums.find(key);
  if (it != sums.end()) {
    it->second -= std::min(it->second, amount);
    if (it->second == 0) {
      sums.erase(it);
    }
  }
}

} // namespace

void OfferedSubmissions::end(HoldMap::iterator hold) {
  const OfferedSubmission &it = hold->second.Submission;
  subtract(WorkByPriority, it.Priority, it.Work);
  Held.erase(hold);
}

void OfferedSubmissions::expire(SteadyTime now) {
  while (!Ends.empty() && Ends.front().first <= now) {
    const auto &[id, number] = Ends.front().second;
    const auto hold = Held.find(id);
    if (hold != Held.end() && hold->second.Number == number) {
      end(hold);
    }
    Ends.pop_front();
  }
}

void OfferedSubmissions::add(const OfferedSubmission &submission,
                             SteadyTime now) {
  expire(now);
  // `Ends` keeps the ends of taken holds until they are due.
  if (Ends.size() >= Options.MaxOffers) {
    return;
  }
  if (const auto held = Held.find(submission.Id); held != Held.end()) {
    end(held);
  }
  const std::uint64_t number = NextNumber++;
  Held[submission.Id] = {submission, number};
  Ends.push_back({now + Options.Hold, {submission.Id, number}});
  std::uint64_t &work = WorkByPriority[submission.Priority];
  work = saturatingAdd(work, submission.Work);
}

bool OfferedSubmissions::take(const std::string &id, std::uint32_t priority,
                              std::uint64_t work, SteadyTime now) {
  expire(now);
  const auto held = Held.find(id);
  if (held == Held.end()) {
    return false;
  }
  const OfferedSubmission &it = held->second.Submission;
  const bool covered = it.Priority == priority && work <= it.Work;
  end(held);
  return covered;
}

std::uint64_t OfferedSubmissions::workAhead(std::uint32_t priority) const {
  std::uint64_t sum = 0;
  for (const auto &[its, work] : WorkByPriority) {
    sum = its <= priority ? saturatingAdd(sum, work) : sum;
  }
  return sum;
}

} // namespace masticwinch::workflow
