#include <gtest/gtest.h>

#include "platform/UsersStore.h"
#include "poplartrack/store/PlatformClient.h"
#include "unit/base/ErrorIn.h"
#include "unit/store/ScriptedStore.h"

namespace poplartrack {
namespace {

const std::string kWritten =
  ScriptedStore::answer("200 OK", R"({"Ver":1,"versions":[1]})");
/** The write was carried out, and its answer is lost. */
const std::string kLost;
const std::string kConflict =
  ScriptedStore::answer("412 Precondition Failed", "{}");
const std::string kOwnConflict = ScriptedStore::answer("409 Conflict", "{}");
const std::string kRefused =
  ScriptedStore::answer("503 Service Unavailable", "{}");

UsersStore
usersStore(HttpClient& aHttp, const Address& aAddress)
{
  return { aHttp, aAddress };
}

PlatformClient
ownStore(HttpClient& aHttp, const Address& aAddress)
{
  return { aHttp, PlatformClientSettings{ aAddress } };
}

/** Makes one write that succeeds and a second one whose answer is lost. Returns
 * the error of the second. aRepeated is the answer to a repetition. */
template<typename Make, typename Write>
std::optional<ErrorKind>
errorOfLostWrite(const std::string& aRepeated, Make aMake, Write aWrite)
{
  ScriptedStore peer{ { kWritten, kLost, aRepeated } };
  const auto http = std::move(HttpClient::create(HttpClientLimits{})).value();
  auto store = aMake(*http, peer.address());
  EXPECT_EQ(aWrite(store, "first"), std::nullopt);
  const auto error = aWrite(store, "second");
  EXPECT_EQ(peer.requests(), 2U);
  return error;
}

const auto kTransact = [](auto& aStore, const std::string& aKey) {
  return errorIn(aStore.transact({ TableWrite{ "own", aKey, 0, "me" } }));
};
const auto kPutObject = [](auto& aStore, const std::string& aName) {
  return errorIn(aStore.putObject(aName, "bytes"));
};

// Guards against a writer that takes its own row for another's.
TEST(LostWrite, AWriteThatWasCarriedOutMeetsNoConflictWithItself)
{
  EXPECT_EQ(errorOfLostWrite(kConflict, usersStore, kTransact),
            ErrorKind::PlatformUnknown);
  EXPECT_EQ(errorOfLostWrite(kOwnConflict, ownStore, kTransact),
            ErrorKind::PlatformUnknown);
}

// Guards against a write reported as without effect that was carried out.
TEST(LostWrite, AWriteThatWasCarriedOutIsNotReportedAsRefused)
{
  EXPECT_EQ(errorOfLostWrite(kRefused, usersStore, kTransact),
            ErrorKind::PlatformUnknown);
  EXPECT_EQ(errorOfLostWrite(kRefused, ownStore, kTransact),
            ErrorKind::PlatformUnknown);
}

// Guards against an object reported as not stored that was stored.
TEST(LostWrite, AnObjectThatWasStoredIsNotReportedAsRefused)
{
  EXPECT_EQ(errorOfLostWrite(kRefused, usersStore, kPutObject),
            ErrorKind::PlatformUnknown);
  EXPECT_EQ(errorOfLostWrite(kRefused, ownStore, kPutObject),
            ErrorKind::PlatformUnknown);
}

} // namespace
} // namespace poplartrack
