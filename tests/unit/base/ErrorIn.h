#pragma once

#include <optional>

#include "poplartrack/base/Result.h"

namespace poplartrack {

/** Returns the kind of a result's error; nullopt if the result has a value. */
template<typename T>
std::optional<ErrorKind>
errorIn(const Result<T>& aResult)
{
  return aResult ? std::nullopt : std::optional{ aResult.error().kind };
}

} // namespace poplartrack
