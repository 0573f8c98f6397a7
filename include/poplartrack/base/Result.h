#pragma once

#include <string>
#include <utility>
#include <variant>

#include "poplartrack/base/Error.h"

namespace poplartrack {

/**
 * A value or an error. Every fallible call returns one; nothing on the path
 * of a request throws.
 */
template<typename T>
class [[nodiscard]] Result
{
public:
  Result(T aValue)
    : state(std::in_place_index<0>, std::move(aValue))
  {
  }
  Result(Error aError)
    : state(std::in_place_index<1>, std::move(aError))
  {
  }

  [[nodiscard]] bool ok() const { return this->state.index() == 0; }
  explicit operator bool() const { return this->ok(); }

  /** The value. Valid only when ok(). */
  [[nodiscard]] const T& value() const& { return std::get<0>(this->state); }
  [[nodiscard]] T& value() & { return std::get<0>(this->state); }
  [[nodiscard]] T&& value() && { return std::get<0>(std::move(this->state)); }

  /** The error. Valid only when not ok(). */
  [[nodiscard]] const Error& error() const { return std::get<1>(this->state); }

private:
  std::variant<T, Error> state;
};

/** The value of a call that gives none. */
using Done = std::monostate;

/** An error as a short expression: fail(ErrorKind::Leaving, "draining"). */
inline Error
fail(ErrorKind aKind, std::string aDetail = {})
{
  return Error{ aKind, std::move(aDetail) };
}

} // namespace poplartrack
