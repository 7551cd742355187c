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

void Admission::received(std::uint64_t connection,
                         const RequestProgress &progress) {
  ConnectionPointer closing;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    const bool stays = Book.received(connection, progress.wholeRequests(),
                                     progress.part(), Time.now());
    if (stays && Book.size() > Counts.Limit) {
      closing = chooseForRoom();
    }
  }
  if (closing) {
    closing->requestClose(CloseReason::Room);
  }
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
  return counts;
}

} // namespace masticwinch::internal
