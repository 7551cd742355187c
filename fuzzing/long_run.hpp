#pragma once

#include <rapidcheck.h>

#include <iostream>

namespace masticwinch::fuzzing {

/// Checks a property in the given number of sessions, overriding the number in
/// RC_PARAMS, and prints the session that violates it.
template <class Property>
bool holdsInSessions(int sessions, const Property &property) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = sessions;
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.template is<rc::detail::SuccessResult>();
}

} // namespace masticwinch::fuzzing
