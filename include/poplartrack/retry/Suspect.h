#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/** What may make replicas crash. */
enum class SuspectKind : std::uint8_t
{
  /** The content of a request as a whole. */
  Content,
  /** A part of a prompt, whoever sends it. */
  Part,
  /** A part of a prompt in the requests of one client account. */
  AccountPart,
};

/** Returns the name of a kind of suspect, as in logs. */
std::string_view
nameOf(SuspectKind aKind);

/** Something that requests contain and that replicas may crash under. */
struct Suspect
{
  Fingerprint id;
  SuspectKind kind = SuspectKind::Content;
  /** The prompt part, whoever sends it; for content equal to id. */
  Fingerprint part{};

  friend bool operator==(const Suspect&, const Suspect&) = default;
};

/** Returns the suspect for the content of a request. */
inline Suspect
contentSuspect(const Fingerprint& aContent)
{
  return Suspect{ aContent, SuspectKind::Content, aContent };
}

/** Returns the suspect for a part of a prompt, whoever sends it. */
inline Suspect
partSuspect(const Fingerprint& aPart)
{
  return Suspect{ aPart, SuspectKind::Part, aPart };
}

/** Returns the suspect for a part in the requests of one account. */
inline Suspect
accountPartSuspect(const Fingerprint& aPart, const Fingerprint& aAccountPart)
{
  return Suspect{ aAccountPart, SuspectKind::AccountPart, aPart };
}

/** Returns what the store keeps of a suspect beside its id. */
std::string
storedText(const Suspect& aSuspect);

/** Parses the output of storedText. An empty text means content. Returns
 * nullopt if the text describes no suspect. */
std::optional<Suspect>
suspectFromStore(const Fingerprint& aId, std::string_view aText);

} // namespace poplartrack
