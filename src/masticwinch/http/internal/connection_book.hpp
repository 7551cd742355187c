#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/http/internal/request_progress.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace masticwinch::internal {

/// Why a server closes a connection of its own accord.
enum class CloseReason : std::uint8_t {
  /// Another caller needs the connection's place.
  Room,
  HeaderTimeout,
  BodyTimeout,
  IdleTimeout,
  /// Its bytes exceed what all connections together may hold.
  Memory,
};

/// What the connections of a server are doing, and which one is closed next. A
/// connection waits unless it has a request in progress: one that has arrived
/// whole and whose response isn't written yet. Has as many entries as the
/// server has connections; unknown connections are ignored. Does no I/O.
class ConnectionBook {
public:
  using Id = std::uint64_t;

  void open(Id connection, SteadyTime now);

  /// Forgets a connection; returns why it was to be closed, if it was.
  std::optional<CloseReason> close(Id connection);

  /// Records what has arrived on a connection: the number of whole requests
  /// since it opened, and the part of a request after them. A connection that
  /// was to be closed stays if it has a request in progress now, or if its
  /// timeout no longer applies; returns whether that happened. One that is to
  /// be closed for its bytes never stays.
  bool received(Id connection, std::uint64_t wholeRequests, RequestPart part,
                SteadyTime now);

  /// Records that the response to a request was written or given up. Returns
  /// whether the end of the caller's bytes was held and no request is in
  /// progress any longer.
  bool answered(Id connection, SteadyTime now);

  /// Records that the caller's bytes have ended. Returns whether the connection
  /// has a request in progress, so that this end is held until it has none.
  bool holdEnd(Id connection);

  /// The connection that has waited longest, of those that satisfy the
  /// condition and are not to be closed yet.
  std::optional<Id>
  longestWaiting(const std::function<bool(Id)> &condition) const;

  /// The connections that exceed a timeout, with the reason to close them.
  std::vector<std::pair<Id, CloseReason>> expired(const HttpTimeouts &timeouts,
                                                  SteadyTime now) const;

  /// Marks a connection as one to be closed; it counts as closed from now on.
  void beginClose(Id connection, CloseReason reason);

  bool isToBeClosed(Id connection) const;

  /// Why a connection is to be closed; nothing if it isn't.
  std::optional<CloseReason> closeReason(Id connection) const;

  /// Whether the connection has no request in progress.
  bool isWaiting(Id connection) const;

  /// Number of open connections that are not to be closed.
  std::size_t size() const { return Entries.size() - ToBeClosed; }

private:
  struct Entry {
    std::uint64_t WholeRequests = 0;
    std::uint64_t AnsweredRequests = 0;
    RequestPart Part = RequestPart::None;
    bool HoldsEnd = false;
    SteadyTime WaitingSince;
    /// Since when the connection waits in the current part.
    SteadyTime PartSince;
    std::optional<CloseReason> Closing = std::nullopt;

    bool isWaiting() const { return AnsweredRequests >= WholeRequests; }
  };

  /// Lists the connection by its waiting time as far as it can be closed.
  void list(Id connection, const Entry &entry);
  void unlist(Id connection, const Entry &entry);

  std::map<Id, Entry> Entries;
  std::set<std::pair<SteadyTime, Id>> Waiting;
  std::size_t ToBeClosed = 0;
};

} // namespace masticwinch::internal
