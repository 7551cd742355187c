#include "masticwinch/coordination/workflow/advice_tracker.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

/// A renewal includes the tickets that expire within the validity divided by
/// this.
constexpr int RenewedEarlyDivisor = 4;

} // namespace

Milliseconds
AdviceTracker::estimatedDuration(const protocol::AdviceTerms &terms,
                                 std::size_t runners) {
  const std::uint64_t micros =
      terms.decision_us() + std::uint64_t(terms.per_runner_us()) * runners;
  return Milliseconds(micros / 1000 + 1);
}

void AdviceTracker::agentSeen(const std::string &address, SteadyTime now) {
  Agents[address].LastSeen = now;
}

void AdviceTracker::addStep(const StepKey &step, const std::string &queue,
                            const protocol::AdviceTerms &terms) {
  const auto [it, added] = Steps.try_emplace(step);
  if (added) {
    it->second.Terms = terms;
    it->second.Queue = queue;
  }
}

const AdviceTracker::Tickets *
AdviceTracker::ticketsOf(const StepKey &step) const {
  const auto found = Steps.find(step);
  return found == Steps.end() ? nullptr : &found->second.Approved;
}

std::size_t AdviceTracker::askSize(const StepKey &step,
                                   std::size_t tasks) const {
  const StepAdvice &advice = Steps.at(step);
  const auto it = ApprovalRates.find(advice.Queue);
  const std::uint64_t asked =
      it == ApprovalRates.end() ? 2 : it->second.Asked + 2;
  const std::uint64_t approved =
      it == ApprovalRates.end() ? 1 : it->second.Approved + 1;
  const std::uint64_t withinFixedCost =
      advice.Terms.decision_us() /
      std::max<std::uint64_t>(advice.Terms.per_runner_us(), 1);
  return std::clamp<std::size_t>(
      std::max(Options.ApprovedPerTask * tasks * asked / approved,
               withinFixedCost),
      Options.MinRunnersPerCall, Options.MaxRunnersAsked);
}

std::size_t AdviceTracker::callSize(const StepKey &step,
                                    std::size_t tasks) const {
  return std::min(askSize(step, tasks), Options.MaxRunnersPerCall);
}

void AdviceTracker::removeStep(const StepKey &step) { Steps.erase(step); }

/// The agent with the least queued work. Slow calls skip the first agents,
/// which are reserved for fast calls.
const std::string *AdviceTracker::leastLoadedAgent(bool slow,
                                                   SteadyTime now) const {
  const auto isPresent = [&](const Agent &agent) {
    return now - agent.LastSeen < Options.AgentTimeout;
  };
  const auto freshAgents = static_cast<std::size_t>(
      std::count_if(Agents.begin(), Agents.end(),
                    [&](const auto &it) { return isPresent(it.second); }));
  std::size_t toSkip =
      slow && freshAgents > 1
          ? (freshAgents * Options.FastAgentsPermille + 999) / 1000
          : 0;
  auto best = Agents.end();
  for (auto it = Agents.begin(); it != Agents.end(); ++it) {
    const bool fresh = isPresent(it->second);
    if (fresh && toSkip > 0) {
      --toSkip;
      continue;
    }
    const bool idle = it->second.BusyUntil < now + Options.MaxAgentBacklog;
    if (fresh && idle &&
        (best == Agents.end() ||
         it->second.BusyUntil < best->second.BusyUntil)) {
      best = it;
    }
  }
  return best == Agents.end() ? nullptr : &best->first;
}

bool AdviceTracker::isSlowCall(const StepAdvice &advice,
                               std::size_t runners) const {
  return estimatedDuration(advice.Terms, runners) + Options.TransferTime >=
         Options.SlowCallThreshold;
}

/// Returns false if there is no agent for the call.
bool AdviceTracker::call(const StepKey &step, StepAdvice &advice,
                         std::vector<std::string> runners, bool renewal,
                         SteadyTime now) {
  const std::string *found =
      leastLoadedAgent(isSlowCall(advice, runners.size()), now);
  if (!found) {
    return false;
  }
  const auto agent = Agents.find(*found);
  const Milliseconds duration =
      estimatedDuration(advice.Terms, runners.size()) + Options.TransferTime;
  agent->second.BusyUntil = std::max(agent->second.BusyUntil, now) + duration;
  AdviceCall newCall;
  newCall.Order = NextOrder++;
  newCall.Agent = agent->first;
  newCall.Step = step;
  newCall.Runners = runners;
  newCall.Timeout =
      std::chrono::duration_cast<Milliseconds>(agent->second.BusyUntil - now) +
      Options.CallMargin;
  if (renewal) {
    advice.Renewing.insert(runners.begin(), runners.end());
  } else {
    ++advice.PendingAsks;
  }
  PendingCalls[newCall.Order] = {step, agent->first, std::move(runners),
                                 now + newCall.Timeout + Options.CallMargin,
                                 renewal};
  NewCalls.push_back(std::move(newCall));
  return true;
}

/// Makes as many calls of the same size as are needed to name all runners,
/// until no agent is left.
void AdviceTracker::callAll(const StepKey &step, StepAdvice &advice,
                            const std::vector<std::string> &runners,
                            bool renewal, SteadyTime now) {
  const std::size_t calls = (runners.size() + Options.MaxRunnersPerCall - 1) /
                            Options.MaxRunnersPerCall;
  for (std::size_t i = 0; i < calls; ++i) {
    const auto first =
        runners.begin() + std::ptrdiff_t(runners.size() * i / calls);
    const auto last =
        runners.begin() + std::ptrdiff_t(runners.size() * (i + 1) / calls);
    if (!call(step, advice, {first, last}, renewal, now)) {
      return;
    }
  }
}

bool AdviceTracker::isAskDue(const StepAdvice &advice, bool hasEnough,
                             SteadyTime now) const {
  const Milliseconds pause =
      hasEnough ? Options.AskMoreWithEnoughAfter : Options.AskMoreAfter;
  return advice.PendingAsks == 0 && now >= advice.NotBefore &&
         (!advice.Answered || now >= advice.AskedAt + pause);
}

bool AdviceTracker::mayAsk(const StepKey &step, std::size_t runners,
                           SteadyTime now, bool hasEnough) const {
  const auto found = Steps.find(step);
  return found != Steps.end() && isAskDue(found->second, hasEnough, now) &&
         leastLoadedAgent(isSlowCall(found->second, runners), now) != nullptr;
}

void AdviceTracker::ask(const StepKey &step,
                        const std::vector<std::string> &candidates,
                        SteadyTime now, bool hasEnough) {
  const auto found = Steps.find(step);
  if (found == Steps.end() || !isAskDue(found->second, hasEnough, now)) {
    return;
  }
  StepAdvice &advice = found->second;
  std::vector<std::string> unasked;
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(unasked),
      [&](const std::string &it) { return !advice.Asked.contains(it); });
  callAll(step, advice, unasked, false, now);
}

bool AdviceTracker::renew(const StepKey &step,
                          const std::vector<std::string> &runners,
                          SteadyTime now) {
  const auto found = Steps.find(step);
  if (found == Steps.end()) {
    return false;
  }
  StepAdvice &advice = found->second;
  const Milliseconds duration =
      Options.TransferTime + estimatedDuration(advice.Terms, runners.size());
  renewExpiring(step, advice, runners, now + Options.TicketMargin + duration,
                now);
  return std::any_of(runners.begin(), runners.end(), [&](const auto &it) {
    return advice.Renewing.contains(it);
  });
}

/// Renews the tickets that expire by `until`, and with them those that would be
/// next: each call has a fixed duration.
void AdviceTracker::renewExpiring(const StepKey &step, StepAdvice &advice,
                                  const std::vector<std::string> &runners,
                                  SteadyTime until, SteadyTime now) {
  const auto expires = [&](const std::string &it, SteadyTime when) {
    const auto approved = advice.Approved.find(it);
    return approved != advice.Approved.end() && approved->second.Until <= when;
  };
  const bool due =
      std::any_of(runners.begin(), runners.end(),
                  [&](const std::string &it) { return expires(it, until); });
  if (!due || !advice.Renewing.empty() || now < advice.NotBefore) {
    return;
  }
  const SteadyTime next =
      until + Milliseconds(advice.Terms.validity_ms()) / RenewedEarlyDivisor;
  std::vector<std::string> expiring;
  std::copy_if(runners.begin(), runners.end(), std::back_inserter(expiring),
               [&](const std::string &it) { return expires(it, next); });
  callAll(step, advice, expiring, true, now);
}

bool AdviceTracker::isSlow(const StepKey &step) const {
  const auto found = Steps.find(step);
  return found != Steps.end() &&
         estimatedDuration(found->second.Terms,
                           found->second.Approved.size()) >=
             Options.SlowCallThreshold;
}

std::vector<std::string>
AdviceTracker::approvedRunners(const StepKey &step) const {
  std::vector<std::string> runners;
  const auto found = Steps.find(step);
  if (found != Steps.end()) {
    for (const auto &[runner, ticket] : found->second.Approved) {
      runners.push_back(runner);
    }
  }
  return runners;
}

void AdviceTracker::answered(
    std::uint64_t order, bool succeeded,
    const std::vector<std::pair<std::string, std::string>> &approved,
    Milliseconds validity, SteadyTime now) {
  const auto call = PendingCalls.extract(order);
  if (call.empty()) {
    return;
  }
  const auto agent = Agents.find(call.mapped().Agent);
  const auto found = Steps.find(call.mapped().Step);
  if (found == Steps.end()) {
    return;
  }
  StepAdvice &advice = found->second;
  if (call.mapped().Renewal) {
    for (const std::string &it : call.mapped().Runners) {
      advice.Renewing.erase(it);
    }
  } else if (advice.PendingAsks > 0) {
    --advice.PendingAsks;
  }
  if (!succeeded) {
    advice.NotBefore = now + Options.RetryDelay;
    if (agent != Agents.end()) {
      // Don't use this agent until its next hello.
      agent->second.LastSeen = {};
    }
    return;
  }
  advice.Answered = true;
  advice.Asked.insert(call.mapped().Runners.begin(),
                      call.mapped().Runners.end());
  const Milliseconds valid = validity.count() > 0
                                 ? validity
                                 : Milliseconds(advice.Terms.validity_ms());
  if (!call.mapped().Renewal) {
    advice.AskedAt = now;
    ApprovalRate &rate = ApprovalRates[advice.Queue];
    rate.Asked += call.mapped().Runners.size();
    rate.Approved += approved.size();
  }
  for (const auto &[runner, ticket] : approved) {
    advice.Approved[runner] = {ticket, now - Options.TransferTime + valid};
  }
}

void AdviceTracker::expire(SteadyTime now) {
  std::vector<std::uint64_t> expired;
  for (const auto &[order, it] : PendingCalls) {
    if (now >= it.Deadline) {
      expired.push_back(order);
    }
  }
  for (std::uint64_t it : expired) {
    answered(it, false, {}, Milliseconds(0), now);
  }
}

const std::string *AdviceTracker::ticket(const StepKey &step,
                                         const std::string &runner,
                                         SteadyTime now) const {
  const auto found = Steps.find(step);
  if (found == Steps.end()) {
    return nullptr;
  }
  const auto it = found->second.Approved.find(runner);
  if (it == found->second.Approved.end() || !isFresh(it->second, now)) {
    return nullptr;
  }
  return &it->second.Text;
}

const std::set<std::string> *
AdviceTracker::askedRunners(const StepKey &step) const {
  const auto found = Steps.find(step);
  return found == Steps.end() ? nullptr : &found->second.Asked;
}

bool AdviceTracker::hasAnswer(const StepKey &step) const {
  const auto found = Steps.find(step);
  return found != Steps.end() && found->second.Answered;
}

void AdviceTracker::ticketRefused(const StepKey &step,
                                  const std::string &runner) {
  const auto found = Steps.find(step);
  if (found == Steps.end()) {
    return;
  }
  const auto it = found->second.Approved.find(runner);
  if (it != found->second.Approved.end()) {
    it->second.Until = {};
  }
}

void AdviceTracker::expireTickets(const std::string &runner) {
  for (auto &[key, advice] : Steps) {
    const auto it = advice.Approved.find(runner);
    if (it != advice.Approved.end()) {
      it->second.Until = {};
    }
  }
}

} // namespace masticwinch::workflow
