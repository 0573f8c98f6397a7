#include "standins/lib/UsersStoreStandin.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/Base64.h"
#include "platform/Utf8Repair.h"

namespace poplartrack::standins {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;

constexpr std::string_view kEpochField = "Store-Era";

std::int64_t
steadyMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

std::string
queryOf(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.query.find(aName);
  return found == aRequest.query.end() ? std::string{} : found->second;
}

constexpr std::string_view kNoBase64 = "?";

/** Marks both ends of a key in hexadecimal digits, for which its bytes are sent
 * as they are. */
constexpr std::string_view kRawMark = "#raw#";

/** Returns a key as a JSON library can write it. */
std::string
keyText(const std::string& aKey)
{
  if (isUtf8(aKey)) {
    return aKey;
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text{ kRawMark };
  for (const char letter : aKey) {
    const auto byte = static_cast<unsigned char>(letter);
    text += kDigits[byte / kDigits.size()];
    text += kDigits[byte % kDigits.size()];
  }
  return text.append(kRawMark);
}

/** Returns the body with the bytes of all marked keys. */
std::string
withRawKeys(std::string aBody)
{
  constexpr int kHex = 16;
  std::size_t begin = 0;
  while ((begin = aBody.find(kRawMark, begin)) != std::string::npos) {
    const std::size_t digits = begin + kRawMark.size();
    const std::size_t end = aBody.find(kRawMark, digits);
    std::string bytes;
    for (std::size_t at = digits; at < end; at += 2) {
      bytes += static_cast<char>(std::stoi(aBody.substr(at, 2), nullptr, kHex));
    }
    aBody.replace(begin, end + kRawMark.size() - begin, bytes);
    begin += bytes.size();
  }
  return aBody;
}

HttpReply
replyWith(int aStatus, Json aBody, std::uint64_t aVersion)
{
  aBody["Ver"] = aVersion;
  aBody["NowMs"] = steadyMillis();
  HttpReply reply;
  reply.status = aStatus;
  reply.headers["Content-Type"] = "application/json";
  reply.body = withRawKeys(aBody.dump());
  return reply;
}

} // namespace

UsersStoreStandin::UsersStoreStandin()
{
  auto made = HttpServer::create(
    Address{ "127.0.0.1", 0 },
    [this](const HttpRequest& aRequest) { return this->answer(aRequest); },
    HttpServerLimits{});
  if (!made) {
    std::abort();
  }
  this->server = std::move(made).value();
}

void
UsersStoreStandin::put(const std::string& aTable,
                       const std::string& aKey,
                       const std::string& aValue)
{
  const std::scoped_lock lock{ this->guard };
  this->rows[{ aTable, aKey }] = Row{ aValue, ++this->version, false };
  this->written.notify_all();
}

void
UsersStoreStandin::putNoBase64(const std::string& aTable,
                               const std::string& aKey)
{
  const std::scoped_lock lock{ this->guard };
  this->rows[{ aTable, aKey }] = Row{ "", ++this->version, false, false };
  this->written.notify_all();
}

void
UsersStoreStandin::drop(const std::string& aTable, const std::string& aKey)
{
  const std::scoped_lock lock{ this->guard };
  this->rows[{ aTable, aKey }] = Row{ "", ++this->version, true };
  this->written.notify_all();
}

void
UsersStoreStandin::saveCopy()
{
  const std::scoped_lock lock{ this->guard };
  this->copiedRows = this->rows;
  this->copiedVersion = this->version;
}

void
UsersStoreStandin::restoreCopy()
{
  const std::scoped_lock lock{ this->guard };
  this->lostRows = std::exchange(this->rows, this->copiedRows);
  this->version = this->copiedVersion;
  ++this->epoch;
  this->written.notify_all();
}

void
UsersStoreStandin::rewrite(const std::vector<std::string>& aTables)
{
  const std::scoped_lock lock{ this->guard };
  for (const auto& [name, row] : this->lostRows) {
    const bool isNamed =
      std::find(aTables.begin(), aTables.end(), name.first) != aTables.end();
    const auto now = this->rows.find(name);
    const bool isLost = now == this->rows.end() ||
                        now->second.value != row.value ||
                        now->second.deleted != row.deleted;
    if (isNamed && isLost) {
      this->rows[name] = Row{ row.value, ++this->version, row.deleted };
    }
  }
  this->lostRows.clear();
  this->written.notify_all();
}

std::string
UsersStoreStandin::valueText(const Row& aRow)
{
  return aRow.isBase64 ? toBase64(aRow.value) : std::string{ kNoBase64 };
}

HttpReply
UsersStoreStandin::answer(const HttpRequest& aRequest)
{
  std::unique_lock lock{ this->guard };
  HttpReply reply = this->answerCall(aRequest, lock);
  reply.headers[std::string{ kEpochField }] = std::to_string(this->epoch);
  return reply;
}

HttpReply
UsersStoreStandin::answerCall(const HttpRequest& aRequest,
                              std::unique_lock<std::mutex>& aLock)
{
  if (const int status = this->faults.refuseWith; status != 0) {
    HttpReply reply;
    reply.status = status;
    return reply;
  }
  if (aRequest.path == "/api/rows-get") {
    return this->readRows(aRequest);
  }
  if (aRequest.path == "/api/rows-feed") {
    return this->readFeed(aRequest, aLock);
  }
  if (aRequest.path == "/api/rows-tx") {
    HttpReply reply = this->transact(aRequest);
    if (this->faults.loseAnswers) {
      reply.source = [] { return BodyChunk{ "", BodyChunk::State::Abort }; };
    }
    return reply;
  }
  HttpReply reply;
  reply.status = kNotFound;
  return reply;
}

HttpReply
UsersStoreStandin::readRows(const HttpRequest& aRequest)
{
  const std::string table = queryOf(aRequest, "Table");
  const std::string from = queryOf(aRequest, "From");
  const std::string to = queryOf(aRequest, "Target");
  const std::size_t limit =
    std::strtoul(queryOf(aRequest, "Limit").c_str(), nullptr, 10);
  Json list = Json::array();
  bool more = false;
  for (const auto& [name, row] : this->rows) {
    if (name.first != table || row.deleted || name.second < from ||
        (!to.empty() && name.second >= to)) {
      continue;
    }
    if (list.size() == limit) {
      more = true;
      break;
    }
    list.push_back({ { "Key", keyText(name.second) },
                     { "Value", valueText(row) },
                     { "Ver", row.version } });
  }
  return replyWith(
    kOk, { { "Rows", list }, { "MorePages", more } }, this->version);
}

bool
UsersStoreStandin::changedSince(const std::string& aTable,
                                std::uint64_t aVersion) const
{
  return std::any_of(
    this->rows.begin(), this->rows.end(), [&](const auto& aEntry) {
      return aEntry.first.first == aTable && aEntry.second.version > aVersion;
    });
}

HttpReply
UsersStoreStandin::readFeed(const HttpRequest& aRequest,
                            std::unique_lock<std::mutex>& aLock)
{
  const std::uint64_t after =
    std::strtoull(queryOf(aRequest, "After").c_str(), nullptr, 10);
  if (this->faults.forgetHistory || after > this->version) {
    return replyWith(kGone, Json::object(), this->version);
  }
  if (this->faults.longPolls) {
    const std::chrono::milliseconds most{ std::strtol(
      queryOf(aRequest, "WaitMs").c_str(), nullptr, 10) };
    this->written.wait_for(aLock, most, [&] {
      return this->changedSince(queryOf(aRequest, "Table"), after);
    });
  }
  std::map<std::uint64_t, Json> changed;
  for (const auto& [name, row] : this->rows) {
    if (name.first == queryOf(aRequest, "Table") && row.version > after) {
      Json one{ { "Key", keyText(name.second) },
                { "Value", valueText(row) },
                { "Ver", row.version } };
      if (row.deleted) {
        one["Deleted"] = true;
      }
      changed.emplace(row.version, std::move(one));
    }
  }
  Json list = Json::array();
  for (auto& [at, row] : changed) {
    list.push_back(std::move(row));
  }
  return replyWith(kOk, { { "Rows", list } }, this->version);
}

HttpReply
UsersStoreStandin::transact(const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.body);
  const auto nameOf = [](const Json& aRow) {
    return Name{ aRow.at("Table").get<std::string>(),
                 aRow.at("Key").get<std::string>() };
  };
  for (const Json& condition : body.at("Precondition")) {
    const auto found = this->rows.find(nameOf(condition));
    const bool stands = found != this->rows.end() && !found->second.deleted;
    const std::uint64_t has = stands ? found->second.version : 0;
    if (has != condition.at("Ver").get<std::uint64_t>()) {
      return replyWith(kPreconditionFailed, Json::object(), this->version);
    }
  }
  ++this->version;
  for (const Json& put : body.at("Puts")) {
    const auto value = fromBase64(put.at("Value").get<std::string>());
    this->rows[nameOf(put)] = Row{ value.value_or(""), this->version, false };
  }
  for (const Json& drop : body.at("Delete")) {
    this->rows[nameOf(drop)] = Row{ "", this->version, true };
  }
  this->written.notify_all();
  return replyWith(kOk, Json::object(), this->version);
}

} // namespace poplartrack::standins
