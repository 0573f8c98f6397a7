#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/OwnedFd.h"
#include "soak/SoakRecord.h"

namespace poplartrack::soak {

/** One caller: sends requests one after the other, on a connection that it
 * keeps until the relay closes it, and reads the answers byte by byte with no
 * help of the code under test. */
class SoakCaller
{
public:
  SoakCaller(SoakRecord& aRecord, std::string aName, std::uint64_t aSeed)
    : record(aRecord)
    , name(std::move(aName))
    , random(aSeed)
  {
  }

  /** Sets the parts of the prompts of later streams, "ID:TOKENS,"; each request
   * adds one of its own. */
  void setParts(std::string aParts) { this->parts = std::move(aParts); }
  /** Says that no other caller has requests of this one's account. */
  void setOnlyOfAccount() { this->onlyOfAccount = true; }
  /** Sends one request of a random kind; gives what came of it.
   * @param aKey empty: one of the two keys of the first account */
  CallRecord call(const Address& aRelay, const std::string& aKey = {});
  CallRecord call(const Address& aRelay,
                  RequestKind aKind,
                  const std::string& aKey);

private:
  bool connect(const Address& aRelay);
  bool send(const std::string& aText);
  /** Reads more; false when the time is up or the connection has ended. */
  bool readMore();
  void readAnswer(const std::string& aId, CallRecord& aCall);
  void readBody(const std::string& aId, CallRecord& aCall);
  [[nodiscard]] bool chunked(std::size_t aHeadEnd) const;

  SoakRecord& record;
  std::string name;
  std::mt19937_64 random;
  std::string parts = "first:20,";
  OwnedFd fd;
  Address connected;
  std::string in;
  std::int64_t giveUpAt = 0;
  bool onlyOfAccount = false;
  /** The last answer did not come in time: the relay may not know yet that the
   * caller has left. */
  bool gaveUp = false;
  int count = 0;
};

} // namespace poplartrack::soak
