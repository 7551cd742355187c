#include "masticwinch/peers/cell_client.hpp"

#include "masticwinch/peers/mailbox.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>

namespace masticwinch::peers {

namespace {

constexpr Milliseconds NotLeaderRetryDelay{50};

} // namespace

struct CellClient::Call {
  Call(asio::io_context &context, Milliseconds timeout)
      : Retry(context), Deadline(BootClock::now() + timeout) {}

  std::uint64_t Id = 0;
  protocol::Envelope Message;
  std::function<void(CellCallOutcome, const protocol::Envelope &)> Done;
  asio::steady_timer Retry;
  SteadyTime Deadline;
};

CellClient::CellClient(asio::io_context &context, Mailbox &mailbox,
                       CellClientOptions options)
    : Context(context), Outbox(mailbox), Options(std::move(options)),
      Leader(Options.Controls.front()),
      NextCall(mailbox.options().Incarnation) {}

CellClient::~CellClient() = default;

void CellClient::submit(protocol::Command command, CommandDone done) {
  auto call = std::make_shared<Call>(Context, Options.Timeout);
  *call->Message.mutable_command_request()->mutable_command() =
      std::move(command);
  call->Done = [done = std::move(done)](CellCallOutcome kind,
                                        const protocol::Envelope &answer) {
    done(kind, answer.command_reply().result());
  };
  start(std::move(call));
}

void CellClient::query(protocol::QueryRequest query, QueryDone done) {
  auto call = std::make_shared<Call>(Context, Options.Timeout);
  *call->Message.mutable_query_request() = std::move(query);
  call->Done = [done = std::move(done)](CellCallOutcome kind,
                                        const protocol::Envelope &answer) {
    done(kind, answer.query_reply());
  };
  start(std::move(call));
}

void CellClient::start(std::shared_ptr<Call> call) {
  call->Id = NextCall++;
  if (call->Message.has_command_request()) {
    call->Message.mutable_command_request()->set_call(call->Id);
  } else {
    call->Message.mutable_query_request()->set_call(call->Id);
  }
  const std::uint64_t id = call->Id;
  Calls.emplace(id, std::move(call));
  attempt(id);
}

void CellClient::attempt(std::uint64_t id) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  Call &call = *it->second;
  if (BootClock::now() >= call.Deadline) {
    finish(id, CellCallOutcome::Unknown, {});
    return;
  }
  const std::string target = Leader;
  Outbox.send(target, call.Message);
  call.Retry.expires_after(Options.AttemptTimeout);
  call.Retry.async_wait([this, id, target](const std::error_code &ec) {
    if (ec) {
      return;
    }
    if (Leader == target) {
      suggestLeader("");
    }
    attempt(id);
  });
}

void CellClient::retryAfter(Call &call, Milliseconds delay) {
  call.Retry.expires_after(delay);
  call.Retry.async_wait([this, id = call.Id](const std::error_code &ec) {
    if (!ec) {
      attempt(id);
    }
  });
}

void CellClient::receive(const protocol::Envelope &envelope) {
  std::uint64_t id = 0;
  bool taken = false;
  std::string hint;
  if (envelope.has_command_reply()) {
    id = envelope.command_reply().call();
    taken = envelope.command_reply().taken();
    hint = envelope.command_reply().leader_hint();
  } else if (envelope.has_query_reply()) {
    id = envelope.query_reply().call();
    taken = envelope.query_reply().taken();
    hint = envelope.query_reply().leader_hint();
  } else {
    return;
  }
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  if (taken) {
    Leader = envelope.reply_address();
    finish(id, CellCallOutcome::Answered, envelope);
    return;
  }
  if (Leader == envelope.reply_address()) {
    suggestLeader(hint);
  }
  retryAfter(*it->second, NotLeaderRetryDelay);
}

void CellClient::suggestLeader(const std::string &address) {
  const auto &controls = Options.Controls;
  if (std::find(controls.begin(), controls.end(), address) != controls.end()) {
    Leader = address;
    return;
  }
  const auto it = std::find(controls.begin(), controls.end(), Leader);
  const bool last = it == controls.end() || it + 1 == controls.end();
  Leader = last ? controls.front() : *(it + 1);
}

void CellClient::finish(std::uint64_t id, CellCallOutcome kind,
                        const protocol::Envelope &answer) {
  const auto it = Calls.find(id);
  const std::shared_ptr<Call> call = std::move(it->second);
  Calls.erase(it);
  call->Retry.cancel();
  call->Done(kind, answer);
}

} // namespace masticwinch::peers
