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
          clock.systemNow().time_since_epoch().count())) {}

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
  resendOverdue();
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
  NextHello = Time.now() +
              (Leader.empty() ? Options.SearchInterval : Options.HelloInterval);
  protocol::Envelope envelope;
  envelope.mutable_agent_hello()->set_sequence(++HelloSequence);
  envelope.mutable_agent_hello()->set_carries_orders(true);
  if (!Leader.empty()) {
    Outbox.send(Leader, std::move(envelope));
    return;
  }
  for (const std::string &it : Controls) {
    Outbox.send(it, envelope);
  }
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
  PendingCall &pending =
      Calls
          .try_emplace(number,
                       PendingCall{std::move(call), std::move(done),
                                   Time.now() + wait, Time.now() + timeout,
                                   asio::steady_timer(Context), Time.now()})
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
      resendOverdue();
    }
  });
}

void EntryGateway::send(PendingCall &call) {
  protocol::Envelope envelope;
  const auto left =
      std::chrono::ceil<Milliseconds>(call.CallerDeadline - Time.now());
  call.Call.set_timeout_ms(
      static_cast<std::uint32_t>(std::max(left, Milliseconds(1)).count()));
  *envelope.mutable_workflow_call() = call.Call;
  call.NextSend = Time.now() + Options.ResendAfter;
  call.Unanswered = true;
  Outbox.send(Leader, std::move(envelope));
}

void EntryGateway::resendOverdue() {
  const SteadyTime now = Time.now();
  std::vector<std::uint64_t> expired;
  for (auto &[number, it] : Calls) {
    if (!canWait(it)) {
      expired.push_back(number);
    } else if (!Leader.empty() && now >= it.NextSend) {
      send(it);
    }
  }
  for (std::uint64_t it : expired) {
    const bool unknown = Calls.at(it).Unanswered;
    finish(it, unknown ? CallOutcome::Unknown : CallOutcome::NotAccepted, {});
  }
}

void EntryGateway::finish(std::uint64_t number, CallOutcome outcome,
                          const protocol::WorkflowAnswer &answer) {
  const auto call = Calls.extract(number);
  if (!call.empty()) {
    call.mapped().Done(outcome, answer);
  }
}

void EntryGateway::receive(const protocol::Envelope &envelope) {
  if (envelope.has_workflow_answer()) {
    handleAnswer(envelope.workflow_answer());
  } else if (envelope.has_agent_welcome()) {
    handleWelcome(envelope);
  }
}

void EntryGateway::handleAnswer(const protocol::WorkflowAnswer &answer) {
  const bool handled = answer.verdict() != protocol::VERDICT_NOT_LEADING;
  if (handled) {
    Terms.learn(answer);
  }
  const auto it = Calls.find(answer.call());
  if (it == Calls.end()) {
    return;
  }
  if (handled) {
    finish(answer.call(), CallOutcome::Answered, answer);
    return;
  }
  // The call is sent again to the leader that is found next.
  it->second.NextSend = Time.now();
  NextHello = Time.now();
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
  LastWelcome = Time.now();
  Terms.learn(welcome);
  if (sender == Leader) {
    return;
  }
  Leader = sender;
  Events.writeNamed("leader_found", {{"address", Leader}});
  for (auto &[number, it] : Calls) {
    send(it);
  }
}

bool EntryGateway::isConnected() const { return !Leader.empty(); }

std::optional<ExceededLimit>
EntryGateway::exceededLimit(std::size_t headerBytes,
                            std::size_t bodyBytes) const {
  const bool current =
      isConnected() && Time.now() - LastWelcome <= Options.LeaderTimeout;
  return current ? Terms.exceededLimit(headerBytes, bodyBytes) : std::nullopt;
}

} // namespace masticwinch::workflow
