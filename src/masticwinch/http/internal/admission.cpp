#include "masticwinch/http/internal/admission.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace masticwinch::internal {

namespace {

constexpr Milliseconds MinCheckInterval{20};
constexpr Milliseconds MaxCheckInterval{1000};
/// Checks during the shortest timeout.
constexpr int ChecksPerTimeout = 8;

} // namespace

Admission::ConnectionPointer Admission::find(std::uint64_t connection) const {
  const auto it = Connections.find(connection);
  return it == Connections.end() ? nullptr : it->second.lock();
}

/// Marks the connection that makes room; returns nothing if there is none. A
/// connection with unread bytes may have a whole request that will be read in a
/// moment.
Admission::ConnectionPointer Admission::chooseForRoom() {
  ConnectionPointer chosen;
  const std::optional<std::uint64_t> connection =
      Book.longestWaiting([&](std::uint64_t id) {
        chosen = find(id);
        return chosen && !chosen->hasUnreadBytes();
      });
  if (!connection) {
    return nullptr;
  }
  Book.beginClose(*connection, CloseReason::Room);
  return chosen;
}

bool Admission::opened(std::uint64_t connection) {
  ConnectionPointer closing;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (Book.size() >= Counts.Limit) {
      closing = chooseForRoom();
      if (!closing) {
        ++Counts.Refused;
        return false;
      }
    }
    ++Counts.Admitted;
    Book.open(connection, Time.now());
    Counts.Peak = std::max(Counts.Peak, Book.size());
  }
  if (closing) {
    closing->requestClose(CloseReason::Room);
  }
  return true;
}

void Admission::join(std::uint64_t connection,
                     std::weak_ptr<AdmittedConnection> it) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Connections[connection] = std::move(it);
}

/// Marks the connections that give their bytes up after bytes have arrived on
/// `connection`, which may be one of them, and returns the others.
std::vector<Admission::ConnectionPointer>
Admission::makeMemory(std::uint64_t connection) {
  std::vector<ConnectionPointer> closing;
  while (Requests.isExceeded()) {
    std::optional<std::uint64_t> chosen = Requests.longestHolding(
        [&](std::uint64_t id) { return Book.isWaiting(id); });
    if (!chosen) {
      chosen = Requests.longestHolding([](std::uint64_t) { return true; });
    }
    const std::uint64_t id = chosen.value_or(connection);
    if (!Requests.forget(id)) {
      break;
    }
    Book.beginClose(id, CloseReason::Memory);
    if (id != connection) {
      closing.push_back(find(id));
    }
  }
  return closing;
}

void Admission::close(const std::vector<ConnectionPointer> &connections) {
  for (const ConnectionPointer &it : connections) {
    if (it) {
      it->requestClose(CloseReason::Memory);
    }
  }
}

Reception Admission::received(std::uint64_t connection,
                              RequestProgress &progress) {
  ConnectionPointer forRoom;
  std::vector<ConnectionPointer> forMemory;
  Reception reception = Reception::Accept;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    const bool waited = Book.isWaiting(connection);
    const auto isClosing = [&] {
      return Book.closeReason(connection) == CloseReason::Memory;
    };
    if (isClosing()) {
      return waited ? Reception::Refuse : Reception::Close;
    }
    const bool stays = Book.received(connection, progress.wholeRequests(),
                                     progress.part(), Time.now());
    if (stays && Book.size() > Counts.Limit) {
      forRoom = chooseForRoom();
    }
    Requests.received(connection, progress.heldBytes(),
                      progress.takeWholeBytes(), Time.now());
    const bool alone = Requests.exceedsAlone(connection);
    forMemory = makeMemory(connection);
    if (isClosing()) {
      const Reception refusal =
          alone ? Reception::RefuseForGood : Reception::Refuse;
      reception = waited ? refusal : Reception::Close;
    }
  }
  if (forRoom) {
    forRoom->requestClose(CloseReason::Room);
  }
  close(forMemory);
  return reception;
}

std::shared_ptr<void> Admission::beginHandling(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const std::size_t bytes = Requests.take(connection);
  return {nullptr, [self = shared_from_this(), bytes](void *) {
            const std::lock_guard<std::mutex> released(self->Mutex);
            self->Requests.release(bytes);
          }};
}

void Admission::responseBegan(std::uint64_t connection, std::size_t bytes) {
  std::vector<ConnectionPointer> closing;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    Responses.responseBegan(connection, bytes, Time.now());
    while (Responses.isExceeded()) {
      const auto unread = Responses.longestHolding(
          [&](std::uint64_t id) { return id != connection; });
      if (!unread) {
        break;
      }
      Responses.forget(*unread);
      Book.beginClose(*unread, CloseReason::Memory);
      closing.push_back(find(*unread));
    }
  }
  close(closing);
}

void Admission::responseEnded(std::uint64_t connection, std::size_t bytes) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Responses.responseEnded(connection, bytes);
}

bool Admission::mayRefuse(std::uint64_t connection) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Book.isWaiting(connection);
}

void Admission::answered(std::uint64_t connection) {
  ConnectionPointer ended;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (Book.answered(connection, Time.now())) {
      ended = find(connection);
    }
  }
  if (ended) {
    ended->requestEnd();
  }
}

bool Admission::holdEnd(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Book.holdEnd(connection);
}

void Admission::closed(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Connections.erase(connection);
  Requests.forget(connection);
  Responses.forget(connection);
  if (const std::optional<CloseReason> reason = Book.close(connection)) {
    switch (*reason) {
    case CloseReason::Room:
      ++Counts.ClosedForRoom;
      break;
    case CloseReason::HeaderTimeout:
      ++Counts.HeaderTimeouts;
      break;
    case CloseReason::BodyTimeout:
      ++Counts.BodyTimeouts;
      break;
    case CloseReason::IdleTimeout:
      ++Counts.IdleTimeouts;
      break;
    case CloseReason::Memory:
      ++Counts.ClosedForMemory;
      break;
    }
  }
}

void Admission::setTimeouts(const HttpTimeouts &timeouts) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Timeouts = timeouts;
}

Milliseconds Admission::closeExpired() {
  std::vector<std::pair<ConnectionPointer, CloseReason>> closing;
  Milliseconds interval = MaxCheckInterval;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    for (const auto &[id, reason] : Book.expired(Timeouts, Time.now())) {
      // Unread bytes change what the connection waits for.
      const ConnectionPointer connection = find(id);
      if (connection && !connection->hasUnreadBytes()) {
        Book.beginClose(id, reason);
        closing.emplace_back(connection, reason);
      }
    }
    for (const Milliseconds it :
         {Timeouts.Header, Timeouts.Body, Timeouts.Idle}) {
      if (it > Milliseconds::zero()) {
        interval = std::min(interval, it / ChecksPerTimeout);
      }
    }
  }
  for (const auto &[connection, reason] : closing) {
    connection->requestClose(reason);
  }
  return std::max(interval, MinCheckInterval);
}

bool Admission::isToBeClosed(std::uint64_t connection) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Book.isToBeClosed(connection);
}

HttpConnectionCounts Admission::counts() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  HttpConnectionCounts counts = Counts;
  counts.Open = Book.size();
  counts.RequestBytes = Requests.total();
  counts.ResponseBytes = Responses.total();
  counts.MaxHeldBytes = Requests.limit();
  return counts;
}

} // namespace masticwinch::internal
