#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/http/http_client.hpp"

#include <string>
#include <vector>

namespace masticwinch::ctl {

/// Servers, identity and timeout of the command-line client.
struct CellConnectionOptions {
  /// Base URLs of the daemons' operators' ports, such as
  /// `http://10.0.0.1:7002`.
  std::vector<std::string> Servers;
  std::string Operator;
  /// Idempotency key of the change: a resend with the same id gets the result
  /// of the first attempt.
  std::string RequestId;
  Milliseconds Timeout{8000};
};

/// A request to the operators' interface.
struct CellRequest {
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  /// Only the leader's answer counts: daemons that answer 503 (it doesn't lead)
  /// or 404 (it has no such page) are passed over.
  bool LeaderOnly = false;
};

/// Client of the operators' interface that tries the daemons in order until one
/// answers. Retries are safe because every change carries a request id.
class CellConnection {
public:
  explicit CellConnection(CellConnectionOptions options)
      : Options(std::move(options)) {}

  /// Returns the first answer, or the last failure if no daemon answered.
  /// Status 504 counts as a failure. For the leader only, returns the last
  /// answer of another daemon if the leader's is missing.
  HttpCallResult call(const CellRequest &request);

private:
  HttpCallResult callServer(const std::string &server,
                            const CellRequest &request);

  CellConnectionOptions Options;
};

} // namespace masticwinch::ctl
