#pragma once

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/http/internal/connection_book.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace masticwinch::internal {

/// An open connection as `Admission` sees it. The functions are called on any
/// thread, `hasUnreadBytes` under the lock of `Admission`.
class AdmittedConnection {
public:
  virtual ~AdmittedConnection() = default;

  /// Whether bytes have arrived that the server hasn't read yet.
  virtual bool hasUnreadBytes() = 0;

  /// Makes the connection close later, on its own thread, if
  /// `Admission::isToBeClosed` still holds then.
  virtual void requestClose(CloseReason reason) = 0;

  /// Makes the connection close later, on its own thread, since its caller's
  /// bytes have ended and all requests are answered.
  virtual void requestEnd() = 0;
};

/// Bounds the connections of a server. At the limit, the connection that has
/// waited longest without a request in progress makes room for a new one; if
/// all have one in progress, the new connection is refused. Closes connections
/// that wait longer than the timeouts. Thread-safe.
class Admission {
public:
  Admission(std::size_t limit, const HttpTimeouts &timeouts)
      : Timeouts(timeouts) {
    Counts.Limit = limit;
  }

  /// Decides on a new connection; returns whether it is admitted.
  bool opened(std::uint64_t connection);

  /// Introduces an admitted connection; until then it is not closed.
  void join(std::uint64_t connection, std::weak_ptr<AdmittedConnection> it);

  /// Records what has arrived on a connection, see `ConnectionBook`.
  void received(std::uint64_t connection, const RequestProgress &progress);
  void answered(std::uint64_t connection);

  /// Whether the end of the caller's bytes is to be held; `requestEnd` follows
  /// then.
  bool holdEnd(std::uint64_t connection);
  void closed(std::uint64_t connection);

  bool isToBeClosed(std::uint64_t connection) const;

  void setTimeouts(const HttpTimeouts &timeouts);

  /// Closes the connections that exceed a timeout; returns the time after which
  /// this is to be called again.
  Milliseconds closeExpired();

  HttpConnectionCounts counts() const;

private:
  using ConnectionPointer = std::shared_ptr<AdmittedConnection>;

  ConnectionPointer find(std::uint64_t connection) const;
  ConnectionPointer chooseForRoom();

  mutable std::mutex Mutex;
  OperatingSystemClock Time;
  HttpTimeouts Timeouts;
  ConnectionBook Book;
  std::map<std::uint64_t, std::weak_ptr<AdmittedConnection>> Connections;
  HttpConnectionCounts Counts;
};

} // namespace masticwinch::internal
