#include "masticwinch/workflow/entry_gateway.hpp"

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/mailbox.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

constexpr Milliseconds TickInterval{50};

} // namespace

EntryGateway::EntryGateway(EntryGatewayOptions options,
                           asio::io_context &context, peers::Mailbox &mailbox,
                           EventLog &events, const Clock &clock)
    : Options(std::move(options)), Context(context), Outbox(mailbox),
      Events(events), Time(clock), Ticker(context),
      Controls(Options.Controls.begin(), Options.Controls.end()),
      // After a restart, the numbers must differ from those of earlier calls,
      // which a leader may still answer.
      NextCall(static_cast<std::uint64_t>(
          clock.systemNow().time_since_epoch().count())),
      Offers(Options.Offers) {}

void EntryGateway::start() {
  sendHello();
  scheduleTick();
}

void EntryGateway::scheduleTick() {
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](const std::error_code &ec) {
    if (!ec) {
      tick();
      scheduleTick();
    }
  });
}

void EntryGateway::tick() {
  const SteadyTime now = Time.now();
  if (!Leader.empty() && now - LastWelcome > Options.LeaderTimeout) {
    dropLeader();
  }
  if (now >= NextHello) {
    sendHello();
  }
  endOverdue();
  sendDue();
}

void EntryGateway::dropLeader() {
  Events.writeNamed("leader_lost", {{"address", Leader}});
  Leader.clear();
  LeaderlessSince = Time.now();
  NextHello = Time.now();
}

bool EntryGateway::canWait(const PendingCall &call) const {
  const bool electing = Time.now() - LeaderlessSince < Options.MaxElectionTime;
  return Time.now() < call.Deadline && (!Leader.empty() || electing);
}

void EntryGateway::sendHello() {
  // The delay of a busy leader is measured more often.
  const bool often = Leader.empty() || leaderDelay() >= Options.SearchInterval;
  NextHello =
      Time.now() + (often ? Options.SearchInterval : Options.HelloInterval);
  protocol::Envelope envelope;
  envelope.mutable_agent_hello()->set_sequence(++HelloSequence);
  envelope.mutable_agent_hello()->set_carries_orders(true);
  envelope.mutable_agent_hello()->set_link_kbps(Options.LinkKbps);
  Delay.sent(HelloSequence, Time.now());
  if (!Leader.empty()) {
    Outbox.send(Leader, std::move(envelope));
    return;
  }
  for (const std::string &it : Controls) {
    Outbox.send(it, envelope);
  }
}

std::optional<CallOutcome>
EntryGateway::refusalOf(const protocol::WorkflowCall &call, std::size_t bytes,
                        Milliseconds wait) const {
  if (Calls.size() >= Options.MaxCalls ||
      CallBytes + bytes > Options.MaxCallBytes) {
    return CallOutcome::TooManyWait;
  }
  // Cancellations take work away.
  if (!call.has_cancel() &&
      leaderDelay() > std::min(wait, Options.MaxLeaderDelay)) {
    return CallOutcome::LeaderBusy;
  }
  return std::nullopt;
}

void EntryGateway::call(protocol::WorkflowCall call, Milliseconds timeout,
                        CallDone done) {
  if (timeout < Options.MinWait) {
    done(CallOutcome::TooLittleTime, {});
    return;
  }
  const std::uint64_t number = NextCall++;
  call.set_call(number);
  const Milliseconds queueTimeout =
      Terms.timeout(call.host(), call.path()).value_or(Options.MaxWait);
  const Milliseconds wait = std::min({timeout, queueTimeout, Options.MaxWait});
  const std::size_t bytes = call.ByteSizeLong();
  if (const auto refusal = refusalOf(call, bytes, wait)) {
    done(*refusal, {});
    return;
  }
  CallBytes += bytes;
  PendingCall &pending =
      Calls
          .try_emplace(number,
                       PendingCall{std::move(call), bytes, std::move(done),
                                   Time.now() + wait, Time.now() + timeout,
                                   CallCopies(), false, std::string(),
                                   asio::steady_timer(Context)})
          .first->second;
  expireAfter(pending, wait);
  if (!Leader.empty()) {
    send(pending);
  } else if (!canWait(pending)) {
    finish(number, CallOutcome::NotAccepted, {});
  }
}

void EntryGateway::expireAfter(PendingCall &call, Milliseconds wait) {
  call.Expiry.expires_after(wait);
  call.Expiry.async_wait([this](const std::error_code &ec) {
    if (!ec) {
      endOverdue();
    }
  });
}

void EntryGateway::send(PendingCall &call) {
  protocol::Envelope envelope;
  const auto left =
      std::chrono::ceil<Milliseconds>(call.CallerDeadline - Time.now());
  call.Call.set_timeout_ms(
      static_cast<std::uint32_t>(std::max(left, Milliseconds(1)).count()));
  call.Call.set_leader_term(LeaderTerm);
  *envelope.mutable_workflow_call() = call.Call;
  call.Offered = TakesOffers && call.WantedBy != Leader &&
                 Offers.applies(call.Call, Time.now());
  if (call.Offered) {
    removePayload(*envelope.mutable_workflow_call());
  }
  call.Copies.sent({Leader, LeaderTerm}, HelloSequence, Time.now());
  Outbox.send(Leader, std::move(envelope));
}

/// Sends the whole submission to the leader that has asked for it. The request
/// is ignored if it answers an earlier copy: the whole submission is on its way
/// already, or another leader has been found and decides anew.
void EntryGateway::sendWhole(PendingCall &call, const std::string &sender) {
  if (!call.Offered || !call.Copies.isLatestAt(sender)) {
    call.Copies.hadNoEffect();
    return;
  }
  call.Copies.notHandled(sender);
  call.WantedBy = sender;
  if (sender == Leader) {
    send(call);
  }
}

void EntryGateway::endOverdue() {
  std::vector<std::uint64_t> expired;
  for (const auto &[number, it] : Calls) {
    if (!canWait(it)) {
      expired.push_back(number);
    }
  }
  for (std::uint64_t it : expired) {
    const bool unknown = Calls.at(it).Copies.mayHaveEffect();
    finish(it, unknown ? CallOutcome::Unknown : CallOutcome::NotAccepted, {});
  }
}

/// Sends the calls that the leader has not received, as far as is known.
void EntryGateway::sendDue() {
  for (auto &[number, it] : Calls) {
    if (!Leader.empty() && it.Copies.isDue({Leader, LeaderTerm}, AnsweredHello,
                                           Options.ResendAfter, Time.now())) {
      send(it);
    }
  }
}

void EntryGateway::finish(std::uint64_t number, CallOutcome outcome,
                          const protocol::WorkflowAnswer &answer) {
  const auto call = Calls.extract(number);
  if (!call.empty()) {
    CallBytes -= call.mapped().Bytes;
    if (outcome == CallOutcome::Answered && call.mapped().Call.has_submit()) {
      Offers.answered(answer.verdict(), Time.now());
    }
    call.mapped().Done(outcome, answer);
  }
}

void EntryGateway::receive(const protocol::Envelope &envelope) {
  if (envelope.has_workflow_answer()) {
    handleAnswer(envelope.reply_address(), envelope.workflow_answer());
  } else if (envelope.has_agent_welcome()) {
    handleWelcome(envelope);
  }
}

void EntryGateway::handleAnswer(const std::string &sender,
                                const protocol::WorkflowAnswer &answer) {
  const bool handled = answer.verdict() != protocol::VERDICT_NOT_LEADING;
  if (handled) {
    Terms.learn(answer);
  }
  const auto it = Calls.find(answer.call());
  if (it == Calls.end()) {
    return;
  }
  CallCopies &copies = it->second.Copies;
  if (handled && it->second.Offered && copies.isLatestAt(sender)) {
    AnsweredOffers[offerOutcomeOf(answer.verdict())] += 1;
  }
  if (answer.verdict() == protocol::VERDICT_SEND_WHOLE) {
    sendWhole(it->second, sender);
    return;
  }
  const bool refused = answer.verdict() == protocol::VERDICT_REFUSED ||
                       answer.verdict() == protocol::VERDICT_UNAUTHENTICATED;
  if (handled && !isOutdated(answer) &&
      (!refused || copies.isLatestAt(sender))) {
    finish(answer.call(), CallOutcome::Answered, answer);
    return;
  }
  // The call is sent again to the leader that is found next; or, after the
  // refusal of a former leader, waits for the answer of the latest one, which
  // may have accepted it.
  copies.notHandled(sender);
  if (!handled) {
    NextHello = Time.now();
  }
}

/// Whether a caller is turned away by an older configuration than the newest
/// known one, in which its key or queue may have been added.
bool EntryGateway::isOutdated(const protocol::WorkflowAnswer &answer) const {
  const bool turnedAway =
      answer.verdict() == protocol::VERDICT_UNAUTHENTICATED ||
      answer.verdict() == protocol::VERDICT_NO_QUEUE;
  return turnedAway && answer.config_version() < Terms.version();
}

void EntryGateway::handleWelcome(const protocol::Envelope &envelope) {
  const protocol::AgentWelcome &welcome = envelope.agent_welcome();
  for (const std::string &it : welcome.controls()) {
    Controls.insert(it);
  }
  const std::string &sender = envelope.reply_address();
  if (!welcome.leads()) {
    if (sender == Leader) {
      dropLeader();
    }
    return;
  }
  if (!Leader.empty() && sender != Leader && welcome.term() != 0 &&
      welcome.term() < LeaderTerm) {
    // Sent before the leader that is known was elected.
    return;
  }
  LastWelcome = Time.now();
  Terms.learn(welcome);
  TakesOffers = welcome.takes_offers();
  // A number above the latest one answers an earlier process at this address.
  AnsweredHello = welcome.sequence() <= HelloSequence ? welcome.sequence() : 0;
  if (sender != Leader) {
    Delay.reset();
    Leader = sender;
    Events.writeNamed("leader_found", {{"address", Leader}});
  }
  LeaderTerm = welcome.term();
  Delay.answered(AnsweredHello, Time.now());
  sendDue();
}

bool EntryGateway::isConnected() const { return !Leader.empty(); }

std::optional<ExceededLimit>
EntryGateway::exceededLimit(std::size_t headerBytes,
                            std::size_t bodyBytes) const {
  return knowsTerms() ? Terms.exceededLimit(headerBytes, bodyBytes)
                      : std::nullopt;
}

bool EntryGateway::lacksKey(const protocol::WorkflowCall &call) const {
  return call.api_key().empty() && knowsTerms() &&
         Terms.isKeyRequired(call.host(), call.path());
}

/// Whether a leader has lately confirmed the version of what is known.
bool EntryGateway::knowsTerms() const {
  return isConnected() && Time.now() - LastWelcome <= Options.LeaderTimeout;
}

} // namespace masticwinch::workflow
