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
  /** Makes some of the requests that choose their key have none or one that
   * nobody holds, and bodies of different sizes. */
  void setOdd() { this->odd = true; }
  /** Says that no other caller has requests of this one's account. */
  void setOnlyOfAccount() { this->onlyOfAccount = true; }
  /** Sends one request of a random kind; gives what came of it.
   * @param aKey empty: one of the two keys of the first account */
  CallRecord call(const Address& aRelay, const std::string& aKey = {});
  CallRecord call(const Address& aRelay,
                  RequestKind aKind,
                  const std::string& aKey,
                  std::size_t aBodyBytes = 2);

private:
  bool connect(const Address& aRelay);
  bool send(const std::string& aText);
  /** Reads more; false when the time is up or the connection has ended. */
  bool readMore();
  void readAnswer(const std::string& aId, CallRecord& aCall);
  void readBody(const std::string& aId, CallRecord& aCall);
  [[nodiscard]] std::string drawKey();
  [[nodiscard]] std::size_t drawBodyBytes();
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
  bool odd = false;
  /** The last answer, whatever it said, was whole by its framing. */
  bool complete = false;
  /** The last answer did not come in time: the relay may not know yet that the
   * caller has left. */
  bool gaveUp = false;
  int count = 0;
};

} // namespace poplartrack::soak
