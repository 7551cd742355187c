#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace masticwinch {

/// One row of an enumeration's table of names.
template <class Enum> struct EnumName {
  Enum Value;
  std::string_view Name;
};

/// Specialised for each enumeration that has names, with a static constexpr
/// array `Table` of `EnumName`.
template <class Enum> struct EnumNames;

/// An enumeration that has a table of names.
template <class Enum>
concept NamedEnum = requires {
  EnumNames<Enum>::Table;
};

/// The name of a value; "unknown" for a value outside the table.
template <NamedEnum Enum> constexpr std::string_view nameOf(Enum value) {
  for (const EnumName<Enum> &it : EnumNames<Enum>::Table) {
    if (it.Value == value) {
      return it.Name;
    }
  }
  return "unknown";
}

/// The value that has the name, or nothing.
template <NamedEnum Enum>
constexpr std::optional<Enum> parseEnum(std::string_view name) {
  for (const EnumName<Enum> &it : EnumNames<Enum>::Table) {
    if (it.Name == name) {
      return it.Value;
    }
  }
  return std::nullopt;
}

} // namespace masticwinch
