#include "masticwinch/http/internal/connection_book.hpp"

namespace masticwinch::internal {

void ConnectionBook::list(Id connection, const Entry &entry) {
  if (entry.isWaiting() && !entry.Closing) {
    Waiting.emplace(entry.WaitingSince, connection);
  }
}

void ConnectionBook::unlist(Id connection, const Entry &entry) {
  Waiting.erase({entry.WaitingSince, connection});
}

void ConnectionBook::open(Id connection, SteadyTime now) {
  const auto [it, isNew] = Entries.try_emplace(connection);
  if (isNew) {
    it->second.WaitingSince = now;
    it->second.PartSince = now;
    list(connection, it->second);
  }
}

std::optional<CloseReason> ConnectionBook::close(Id connection) {
  const auto it = Entries.find(connection);
  if (it == Entries.end()) {
    return std::nullopt;
  }
  const std::optional<CloseReason> reason = it->second.Closing;
  ToBeClosed -= reason ? 1 : 0;
  unlist(connection, it->second);
  Entries.erase(it);
  return reason;
}

bool ConnectionBook::received(Id connection, std::uint64_t wholeRequests,
                              RequestPart part, SteadyTime now) {
  const auto it = Entries.find(connection);
  if (it == Entries.end()) {
    return false;
  }
  Entry &entry = it->second;
  const bool partChanged = entry.Part != part;
  entry.Part = part;
  entry.WholeRequests = wholeRequests;
  if (partChanged) {
    entry.PartSince = now;
  }
  if (!entry.isWaiting()) {
    unlist(connection, entry);
  }
  const bool stays = entry.Closing && entry.Closing != CloseReason::Memory &&
                     (!entry.isWaiting() ||
                      (partChanged && entry.Closing != CloseReason::Room));
  if (stays) {
    entry.Closing.reset();
    --ToBeClosed;
    list(connection, entry);
  }
  return stays;
}

bool ConnectionBook::answered(Id connection, SteadyTime now) {
  const auto it = Entries.find(connection);
  if (it == Entries.end() || it->second.isWaiting()) {
    return false;
  }
  ++it->second.AnsweredRequests;
  if (!it->second.isWaiting()) {
    return false;
  }
  it->second.WaitingSince = now;
  it->second.PartSince = now;
  list(connection, it->second);
  return it->second.HoldsEnd;
}

bool ConnectionBook::holdEnd(Id connection) {
  const auto it = Entries.find(connection);
  if (it == Entries.end() || it->second.isWaiting()) {
    return false;
  }
  it->second.HoldsEnd = true;
  return true;
}

std::optional<ConnectionBook::Id>
ConnectionBook::longestWaiting(const std::function<bool(Id)> &condition) const {
  for (const auto &[since, connection] : Waiting) {
    if (condition(connection)) {
      return connection;
    }
  }
  return std::nullopt;
}

std::vector<std::pair<ConnectionBook::Id, CloseReason>>
ConnectionBook::expired(const HttpTimeouts &timeouts, SteadyTime now) const {
  std::vector<std::pair<Id, CloseReason>> expired;
  const auto check = [&](const Entry &entry, Id connection, Milliseconds limit,
                         CloseReason reason) {
    if (limit > Milliseconds::zero() && now - entry.PartSince > limit) {
      expired.emplace_back(connection, reason);
    }
  };
  for (const auto &[since, connection] : Waiting) {
    const Entry &entry = Entries.at(connection);
    switch (entry.Part) {
    case RequestPart::None:
      check(entry, connection, timeouts.Idle, CloseReason::IdleTimeout);
      break;
    case RequestPart::Head:
      check(entry, connection, timeouts.Header, CloseReason::HeaderTimeout);
      break;
    case RequestPart::Body:
      check(entry, connection, timeouts.Body, CloseReason::BodyTimeout);
      break;
    }
  }
  return expired;
}

void ConnectionBook::beginClose(Id connection, CloseReason reason) {
  const auto it = Entries.find(connection);
  if (it == Entries.end() || it->second.Closing) {
    return;
  }
  unlist(connection, it->second);
  it->second.Closing = reason;
  ++ToBeClosed;
}

bool ConnectionBook::isToBeClosed(Id connection) const {
  return closeReason(connection).has_value();
}

std::optional<CloseReason> ConnectionBook::closeReason(Id connection) const {
  const auto it = Entries.find(connection);
  return it == Entries.end() ? std::nullopt : it->second.Closing;
}

bool ConnectionBook::isWaiting(Id connection) const {
  const auto it = Entries.find(connection);
  return it != Entries.end() && it->second.isWaiting();
}

} // namespace masticwinch::internal
