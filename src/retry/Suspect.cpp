#include "poplartrack/retry/Suspect.h"

#include <array>

namespace poplartrack {
namespace {

/** By SuspectKind. */
constexpr std::array<std::string_view, 3> kKindNames{ "content",
                                                      "part",
                                                      "account_part" };

} // namespace

std::string_view
nameOf(SuspectKind aKind)
{
  return kKindNames[static_cast<std::size_t>(aKind)];
}

std::string
storedText(const Suspect& aSuspect)
{
  switch (aSuspect.kind) {
    case SuspectKind::Part:
      return std::string{ nameOf(aSuspect.kind) };
    case SuspectKind::AccountPart:
      return std::string{ nameOf(aSuspect.kind) } + " " + toText(aSuspect.part);
    case SuspectKind::Content:
      break;
  }
  return {};
}

std::optional<Suspect>
suspectFromStore(const Fingerprint& aId, std::string_view aText)
{
  if (aText.empty()) {
    return contentSuspect(aId);
  }
  if (aText == nameOf(SuspectKind::Part)) {
    return partSuspect(aId);
  }
  const std::string prefix =
    std::string{ nameOf(SuspectKind::AccountPart) } + " ";
  if (!aText.starts_with(prefix)) {
    return std::nullopt;
  }
  const auto part = fingerprintFromText(aText.substr(prefix.size()));
  return part ? std::optional{ accountPartSuspect(*part, aId) } : std::nullopt;
}

} // namespace poplartrack
