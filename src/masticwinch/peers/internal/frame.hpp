#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace masticwinch::peers::internal {

/// Size of the length field before each frame, and of an acknowledgement.
inline constexpr std::size_t FrameHeaderBytes = 4;

inline void appendUint32(std::string &bytes, std::uint32_t number) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes += static_cast<char>((number >> shift) & 0xFF);
  }
}

inline std::uint32_t readUint32(std::string_view bytes) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < FrameHeaderBytes; ++i) {
    number = number << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return number;
}

} // namespace masticwinch::peers::internal
