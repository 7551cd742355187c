#pragma once

namespace masticwinch::programs {

/// Prepares a daemon's process before anything else runs in it: standard
/// descriptors that are closed are opened on /dev/null, so that no file or
/// socket takes their numbers; writing to a closed connection is an error, not
/// a signal; and an exception that no thread caught is written to standard
/// output, as an event line, before the process ends.
void prepareProcess();

} // namespace masticwinch::programs
