#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/http/http_client.hpp"

#include <string>
#include <vector>

namespace masticwinch::ctl {

/// How the command line reaches a cell and names itself.
struct CellConnectionOptions {
  /// Operators' URLs of daemons, such as `http://10.0.0.1:7002`.
  std::vector<std::string> Servers;
  std::string Operator;
  /// Names the change; resends with it are answered as the first was.
  std::string RequestId;
  Milliseconds Timeout{8000};
};

/// One request to the operators' interface.
struct CellRequest {
  std::string Method = "GET";
  std::string Path;
  std::string Body;
};

/// Calls the operators' interface of one daemon after another until one
/// answers. Trying again is safe because every change carries a request id.
class CellConnection {
public:
  explicit CellConnection(CellConnectionOptions options)
      : Options(std::move(options)) {}

  /// The first answer, or the last failure if no daemon answered. An answer
  /// with the status 504 counts as a failure.
  HttpCallResult call(const CellRequest &request);

private:
  HttpCallResult callServer(const std::string &server,
                            const CellRequest &request);

  CellConnectionOptions Options;
};

} // namespace masticwinch::ctl
