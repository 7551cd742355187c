#pragma once

namespace masticwinch::internal {

/// Start of the page, up to the title.
extern const char *const TimelinePageStart;

/// Controls and table of the page, up to the first event of the JSON array.
extern const char *const TimelinePageBody;

/// Script that renders the events.
extern const char *const TimelinePageScript;

} // namespace masticwinch::internal
