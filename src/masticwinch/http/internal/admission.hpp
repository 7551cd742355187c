#pragma once

#include "masticwinch/common/held_bytes.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/http/internal/connection_book.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

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

/// What becomes of bytes that have arrived on a connection.
enum class Reception : std::uint8_t {
  Accept,
  /// The connection closes with a response that refuses the request.
  Refuse,
  /// The same, since the request can never be held.
  RefuseForGood,
  /// The connection closes without a response to the request, since there may
  /// be one to an earlier one.
  Close,
};

/// Bounds the connections of a server. At the limit, the connection that has
/// waited longest without a request in progress makes room for a new one; if
/// all have one in progress, the new connection is refused. Closes connections
/// that wait longer than the timeouts. Bounds the bytes that all requests and
/// that all responses hold: beyond the limit, the connection gives way that has
/// held an unfinished request for longest, preferably one without a request in
/// progress; if there is none, the request that has just arrived is refused.
/// For a new response, the connection gives way that has left its responses
/// unread for longest. Thread-safe.
class Admission : public std::enable_shared_from_this<Admission> {
public:
  Admission(std::size_t limit, std::size_t maxHeldBytes,
            const HttpTimeouts &timeouts)
      : Timeouts(timeouts), Requests(maxHeldBytes), Responses(maxHeldBytes) {
    Counts.Limit = limit;
  }

  /// Decides on a new connection; returns whether it is admitted.
  bool opened(std::uint64_t connection);

  /// Introduces an admitted connection; until then it is not closed.
  void join(std::uint64_t connection, std::weak_ptr<AdmittedConnection> it);

  /// Records what has arrived on a connection, see `ConnectionBook`.
  Reception received(std::uint64_t connection, RequestProgress &progress);

  /// Counts the next whole request of a connection as handled until the
  /// returned token is destroyed.
  std::shared_ptr<void> beginHandling(std::uint64_t connection);

  /// Counts the bytes of a response until `responseEnded`.
  void responseBegan(std::uint64_t connection, std::size_t bytes);
  void responseEnded(std::uint64_t connection, std::size_t bytes);

  /// Whether a connection that is to be closed may be told so by a response: it
  /// has no request in progress.
  bool mayRefuse(std::uint64_t connection) const;

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
  std::vector<ConnectionPointer> makeMemory(std::uint64_t connection);
  static void close(const std::vector<ConnectionPointer> &connections);

  mutable std::mutex Mutex;
  OperatingSystemClock Time;
  HttpTimeouts Timeouts;
  ConnectionBook Book;
  HeldBytes Requests;
  HeldBytes Responses;
  std::map<std::uint64_t, std::weak_ptr<AdmittedConnection>> Connections;
  HttpConnectionCounts Counts;
};

} // namespace masticwinch::internal
