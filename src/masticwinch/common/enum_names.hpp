#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace masticwinch {

/// An entry in the name table of an enumeration.
template <class Enum> struct EnumName {
  Enum Value;
  std::string_view Name;
};

/// Specialised for each named enumeration, with a static constexpr array
/// `Table` of `EnumName`.
template <class Enum> struct EnumNames;

/// An enumeration with a name table.
template <class Enum>
concept NamedEnum = requires {
  EnumNames<Enum>::Table;
};

/// Returns the name of a value; "unknown" if the table doesn't list it.
template <NamedEnum Enum> constexpr std::string_view nameOf(Enum value) {
  for (const EnumName<Enum> &it : EnumNames<Enum>::Table) {
    if (it.Value == value) {
      return it.Name;
    }
  }
  return "unknown";
}

/// Returns the value with the given name, or `nullopt`.
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
