#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace masticwinch::internal {

/// Recognizes in the bytes of a connection a request whose client waits for
/// `100 Continue` before it sends the body: it states this expectation, and
/// nothing follows its headers.
class ExpectationWatch {
public:
  /// Takes received bytes; returns whether the client waits now.
  bool receive(std::string_view bytes);

private:
  /// Longer headers are not searched.
  static constexpr std::size_t MaxHeaderBytes = 17UL * 1024;

  /// Bytes since the end of the last headers, as far as they may be headers.
  std::string Received;
};

} // namespace masticwinch::internal
