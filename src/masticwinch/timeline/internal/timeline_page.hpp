#pragma once

namespace masticwinch::internal {

/// Head of the page, up to its title.
extern const char *const TimelinePageStart;

/// Controls and lanes of the page, up to the first event of the JSON array.
extern const char *const TimelinePageBody;

/// Script that draws the events.
extern const char *const TimelinePageScript;

} // namespace masticwinch::internal
