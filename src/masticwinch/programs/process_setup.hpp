#pragma once

namespace masticwinch::programs {

/// Prepares the process of a daemon; call it first. Opens closed standard
/// descriptors on /dev/null, so that no file or socket gets their numbers;
/// ignores SIGPIPE, so that writing to a closed connection returns an error;
/// and writes an uncaught exception to standard output, as an event line,
/// before the process aborts.
void prepareProcess();

} // namespace masticwinch::programs
