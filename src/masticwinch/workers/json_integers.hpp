#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

namespace masticwinch::workers {

/// Converts a JSON value to an integer. Throws `std::invalid_argument` with the
/// key if it is not an integer that `Number` can hold: the library would
/// convert any number, with an undefined result if it is out of range.
template <std::integral Number>
Number toInteger(const nlohmann::json &value, const char *key) {
  const bool fits = value.is_number_unsigned()
                        ? std::in_range<Number>(value.get<std::uint64_t>())
                        : value.is_number_integer() &&
                              std::in_range<Number>(value.get<std::int64_t>());
  if (!fits) {
    throw std::invalid_argument(std::string(key) +
                                " must be an integer in range");
  }
  return value.get<Number>();
}

/// Reads a required integer. Throws if it is missing or does not fit.
template <std::integral Number>
Number integerAt(const nlohmann::json &object, const char *key) {
  return toInteger<Number>(object.at(key), key);
}

/// Reads an integer that may be missing. Throws if it does not fit.
template <std::integral Number>
Number integerOr(const nlohmann::json &object, const char *key,
                 Number fallback) {
  const auto it = object.find(key);
  return it == object.end() ? fallback : toInteger<Number>(*it, key);
}

} // namespace masticwinch::workers
