#pragma once

#include <rapidcheck.h>

#include <iostream>

namespace masticwinch::fuzzing {

/// Checks a property in so many sessions, whatever RC_PARAMS says of their
/// number; prints the session that broke it.
template <class Property>
bool holdsInSessions(int sessions, Property property) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = sessions;
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.template is<rc::detail::SuccessResult>();
}

} // namespace masticwinch::fuzzing
