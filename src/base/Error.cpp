#include "poplartrack/base/Error.h"

namespace poplartrack {

std::string
describe(const Error& aError)
{
  std::string text{ nameOf(aError.kind) };
  text += ": ";
  text += aError.detail.empty() ? std::string{ rowOf(aError.kind).message }
                                : aError.detail;
  return text;
}

} // namespace poplartrack
