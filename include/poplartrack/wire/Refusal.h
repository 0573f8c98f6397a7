#pragma once

#include <string>

#include <msgpack.hpp>

#include "poplartrack/base/Error.h"

MSGPACK_ADD_ENUM(poplartrack::ErrorKind)

namespace poplartrack {

/** Whether a reply is a rejection, and its error. */
struct Refusal
{
  bool refused = false;
  ErrorKind kind = ErrorKind::Internal;
  std::string detail;

  static Refusal none() { return {}; }
  static Refusal of(const Error& aError)
  {
    return Refusal{ true, aError.kind, aError.detail };
  }
  [[nodiscard]] Error error() const
  {
    return Error{ this->kind, this->detail };
  }

  friend bool operator==(const Refusal&, const Refusal&) = default;
  MSGPACK_DEFINE(refused, kind, detail);
};

} // namespace poplartrack
