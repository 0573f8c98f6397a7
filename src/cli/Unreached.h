#pragma once

#include "cli/Command.h"
#include "poplartrack/http/HttpClient.h"

namespace poplartrack {

/** Prints why an entry gave no answer; the exit code that says so. */
ExitCode
unreached(const HttpResult& aResult);

} // namespace poplartrack
