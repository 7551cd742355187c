#include "masticwinch/coordination/requests/dispatcher.hpp"

#include <algorithm>
#include <tuple>

namespace masticwinch {
namespace {

/// Maximum number of slots requested at a time, per class.
constexpr std::size_t MaxShortage = 64;

constexpr std::uint16_t FirstServerError = 500;

std::uint32_t shortageOf(std::size_t waiting) {
  return static_cast<std::uint32_t>(std::min(waiting, MaxShortage));
}

} // namespace

void Dispatcher::dispatchWaiting(SteadyTime now) {
  checkLease(now);
  if (Fenced) {
    return;
  }
  LastDispatchRound = now;
  if (Queue.size() > 0) {
    exchangeLocalSlots(shortage(), now);
  }
  const auto eligible = [this, now](const FairQueue::Flow &,
                                    RequestNumber number) {
    return canDispatch(number, now);
  };
  while (const std::optional<RequestNumber> number = Queue.pop(eligible)) {
    RequestRecord &record = Records.at(*number);
    dequeued(record);
    dispatch(record, *selectUpstream(record, false, now), now);
  }
  if (Queue.size() == 0) {
    exchangeLocalSlots({}, now);
    send(Owner.tick(now));
  }
  send(Holder.dueDemands(shortage(), now));
}

/// A retried request can't use slots of the upstreams that it was already sent
/// to, so the demand is raised by the number of these upstreams.
SlotShortage Dispatcher::shortage() const {
  const bool urgent = Queue.urgentSize() > 0;
  return {
      shortageOf(Queue.urgentSize() + (urgent ? WaitingTriedUpstreams : 0)),
      shortageOf(Queue.patientSize() + (urgent ? 0 : WaitingTriedUpstreams))};
}

/// Acquires slots of the upstreams that this entry VM owns and returns the
/// unused ones.
void Dispatcher::exchangeLocalSlots(SlotShortage want, SteadyTime now) {
  const std::string &self = Options.Self.Name;
  const protocol::SlotDemand demand = Holder.makeDemand(self, want, now);
  if (const std::optional<protocol::SlotGrant> grant =
          Owner.handleDemand(Options.Self, demand, now)) {
    Holder.applyGrant(self, *grant, now);
  }
}

bool Dispatcher::canDispatch(RequestNumber number, SteadyTime now) const {
  const RequestRecord &record = Records.at(number);
  const auto running = ProfileDispatches.find(record.Arrival.Profile);
  if (running != ProfileDispatches.end() &&
      running->second >= record.Rules.Concurrency) {
    return false;
  }
  return selectUpstream(record, false, now) != nullptr;
}

/// Selects the best upstream with a free slot: preferably one that the request
/// was not sent to before, then one in this data centre, then the one with the
/// lowest expected cost.
const UpstreamEntry *Dispatcher::selectUpstream(const RequestRecord &record,
                                                bool onlyUntried,
                                                SteadyTime now) const {
  const UpstreamEntry *best = nullptr;
  std::tuple<bool, bool, double> bestRank;
  const bool patient = !record.Rules.Urgent;
  for (const auto &[name, it] : Config.upstreams()) {
    const std::uint32_t inUse = Holder.inUse(name);
    const bool tried = record.TriedUpstreams.contains(name);
    if ((onlyUntried && tried) || !Holder.hasFreeSlot(name, patient, now) ||
        !Health.isAvailable(name, inUse, now) ||
        (!record.Arrival.Service.empty() &&
         it.Upstream.service() != record.Arrival.Service)) {
      continue;
    }
    const std::tuple<bool, bool, double> rank{
        tried, it.Upstream.data_center() != Options.DataCenter,
        Health.expectedCost(name, inUse)};
    if (best == nullptr || rank < bestRank) {
      best = &it;
      bestRank = rank;
    }
  }
  if (best != nullptr && std::get<0>(bestRank) &&
      !triedAllUpstreams(record, now)) {
    return nullptr;
  }
  return best;
}

/// Whether the request was sent to every available upstream that can run it.
bool Dispatcher::triedAllUpstreams(const RequestRecord &record,
                                   SteadyTime now) const {
  return std::all_of(Config.upstreams().begin(), Config.upstreams().end(),
                     [&](const auto &it) {
                       return record.TriedUpstreams.contains(it.first) ||
                              !Health.isAvailable(it.first, 0, now) ||
                              (!record.Arrival.Service.empty() &&
                               it.second.Upstream.service() !=
                                   record.Arrival.Service);
                     });
}

void Dispatcher::dispatch(RequestRecord &record, const UpstreamEntry &upstream,
                          SteadyTime now) {
  const std::string &name = upstream.Upstream.name();
  const bool patient = !record.Rules.Urgent;
  const Milliseconds maxDispatchTime = Holder.acquireSlot(name, patient);
  const DispatchNumber number = ++LastDispatch;
  Dispatches[number] = {record.Number,
                        {name, upstream.Upstream.incarnation()},
                        record.Arrival.Profile,
                        patient,
                        now};
  ProfileDispatches[record.Arrival.Profile] += 1;
  if (record.Attempts == 0) {
    Budget.recordFirstAttempt();
  }
  record.Attempts += 1;
  record.Stage = RequestStage::Dispatched;
  record.TriedUpstreams.insert(name);
  record.ActiveDispatches.push_back(number);
  const bool mayHedge = record.repeatable() &&
                        record.ActiveDispatches.size() == 1 &&
                        record.Rules.HedgeAfter > Milliseconds(0);
  record.HedgeAt.reset();
  if (mayHedge) {
    record.HedgeAt = now + record.Rules.HedgeAfter;
  }
  const auto left = std::chrono::ceil<Milliseconds>(record.DeadlineAt - now);
  Effects.emplace_back(
      StartDispatch{number, record.Number, name, upstream.Upstream.address(),
                    std::min(left, maxDispatchTime), Holder.expiryOf(name),
                    !record.repeatable(), record.Attempts});
  setTimer(record);
}

/// Sends a slow repeatable request to a second upstream if the queue is empty.
void Dispatcher::hedge(RequestRecord &record, SteadyTime now) {
  record.HedgeAt.reset();
  if (Fenced || Queue.size() > 0 || record.ActiveDispatches.size() != 1 ||
      record.Attempts >= record.Rules.MaxAttempts) {
    return;
  }
  SlotShortage one{record.Rules.Urgent ? 1U : 0U,
                   record.Rules.Urgent ? 0U : 1U};
  exchangeLocalSlots(one, now);
  const UpstreamEntry *upstream = selectUpstream(record, true, now);
  if (upstream != nullptr && Budget.take()) {
    dispatch(record, *upstream, now);
  }
}

/// Records a failure of the upstream, unless the request already failed at
/// another upstream; then the request is assumed to be the cause. Results of an
/// incarnation that isn't present any more are not recorded.
void Dispatcher::recordResult(const Dispatch &dispatch, DispatchResult result,
                              const AnswerPointer &answer, SteadyTime now) {
  if (!Health.isPresent(dispatch.Upstream)) {
    return;
  }
  RequestRecord &record = Records.at(dispatch.Request);
  const bool hadReply = record.Stage == RequestStage::Done;
  if (result == DispatchResult::Cancelled && hadReply &&
      now < record.DeadlineAt) {
    return;
  }
  if (result == DispatchResult::Answered && answer->Status < FirstServerError) {
    Health.recordSuccess(dispatch.Upstream, now - dispatch.StartedAt);
    ServiceTimeMeans.record(dispatch.Profile, !dispatch.Patient,
                            now - dispatch.StartedAt);
    return;
  }
  if (record.FirstFailedUpstream &&
      record.FirstFailedUpstream->Name != dispatch.Upstream.Name &&
      result == DispatchResult::Broken) {
    Health.retractFailure(*record.FirstFailedUpstream);
    return;
  }
  record.FirstFailedUpstream = dispatch.Upstream;
  Health.recordFailure(dispatch.Upstream, now);
}

void Dispatcher::peerMessageReceived(
    const EntryIncarnation &from, const protocol::RequestPeerMessage &message,
    SteadyTime now) {
  checkLease(now);
  PeerMessage reply{from.Name, {}};
  if (message.has_demand()) {
    if (const auto grant = Owner.handleDemand(from, message.demand(), now)) {
      *reply.Message.mutable_grant() = *grant;
      Effects.emplace_back(std::move(reply));
    }
  } else if (message.has_grant()) {
    Holder.applyGrant(from.Name, message.grant(), now);
  } else if (message.has_handover()) {
    *reply.Message.mutable_handover_reply() =
        Owner.acceptHandover(message.handover(), now);
    Effects.emplace_back(std::move(reply));
  } else if (message.has_handover_reply()) {
    Owner.handleHandoverReply(from.Name, message.handover_reply());
  }
  dispatchWaiting(now);
}

void Dispatcher::configure(const std::vector<protocol::ConfigItem> &items,
                           SteadyTime now) {
  checkLease(now);
  for (const protocol::ConfigItem &it : items) {
    Config.apply(it);
    if (!it.has_upstream()) {
      continue;
    }
    const std::string &name = it.upstream().name();
    const auto present = Config.upstreams().find(name);
    if (present == Config.upstreams().end()) {
      Health.remove(name);
    } else {
      Health.setPresent({name, present->second.Upstream.incarnation()});
    }
  }
  Holder.configure(Config);
  send(Owner.configure(Config, now));
  dispatchWaiting(now);
}

void Dispatcher::send(std::vector<PeerMessage> messages) {
  for (PeerMessage &it : messages) {
    Effects.emplace_back(std::move(it));
  }
}

} // namespace masticwinch
