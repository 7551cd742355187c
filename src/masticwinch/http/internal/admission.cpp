#include "masticwinch/http/internal/admission.hpp"

#include <algorithm>
#include <utility>

namespace masticwinch::internal {

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
  const std::lock_guard<std::mutex> lock(Mutex);
  Book.answered(connection, Time.now());
}

void Admission::closed(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Connections.erase(connection);
  if (Book.close(connection) == CloseReason::Room) {
    ++Counts.ClosedForRoom;
  }
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
