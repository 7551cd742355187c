#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace masticwinch::tests {

/// Whether a server can currently listen on the loopback port.
inline bool isFree(std::uint16_t port) {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context);
  asio::error_code ec;
  acceptor.open(asio::ip::tcp::v4());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind({asio::ip::address_v4::loopback(), port}, ec);
  return !ec;
}

/// Returns a loopback address with a free port that no earlier call returned.
/// The port is below the range that the system uses for outgoing connections,
/// so that none takes it before the mailbox listens.
inline std::string freeAddress() {
  constexpr std::uint16_t FirstPort = 10'000;
  constexpr std::uint16_t LastPort = 30'000;
  static std::mutex mutex;
  static std::set<std::uint16_t> used;
  static std::random_device source;
  const std::lock_guard<std::mutex> lock(mutex);
  std::uniform_int_distribution<std::uint16_t> ports(FirstPort, LastPort);
  std::uint16_t port = ports(source);
  while (!used.insert(port).second || !isFree(port)) {
    port = ports(source);
  }
  return "tcp://127.0.0.1:" + std::to_string(port);
}

} // namespace masticwinch::tests
