#pragma once

#include <string>

#include "poplartrack/base/ErrorKind.h"

namespace poplartrack {

/** An error: its kind and what a reader needs to find the cause. */
struct Error
{
  ErrorKind kind = ErrorKind::Internal;
  std::string detail;

  friend bool operator==(const Error&, const Error&) = default;
};

/** "name: detail" for logs and exit messages. */
std::string
describe(const Error& aError);

} // namespace poplartrack
