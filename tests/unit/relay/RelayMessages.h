#pragma once

#include <array>
#include <cstdio>
#include <string>

#include "poplartrack/relay/RelayHeaderNames.h"

namespace poplartrack::relaytest {

/** Header names as the tests send and expect them. */
inline RelayHeaderNames
names()
{
  RelayHeaderNames names;
  names.requestId = "X-Id";
  names.deadline = "X-Deadline";
  names.tokens = "X-Tokens";
  names.promptParts = "X-Parts";
  names.lengthHint = "X-Hint";
  names.apiKey = "X-Key";
  names.account = "X-Account";
  names.expectReplica = "X-Expect";
  names.notRun = "X-Not-Run";
  names.path = "X-Path";
  names.urgency = "X-Urgency";
  names.faultyReplica = "X-Faulty";
  names.rateLimit = "X-Limit";
  names.draining = "X-Draining";
  names.lastEventId = "Last-Event-Id";
  names.stamp = "X-Stamp";
  names.pathText = [](const LayerPath& aPath) {
    std::string text;
    for (const PathPart& part : aPath.parts) {
      text += part.replica + ";";
    }
    return text;
  };
  return names;
}

/** Returns whether a text contains another one. */
inline bool
has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/** What callers and replicas send to a relay. */
struct RelayMessages
{
  /** Returns a valid request with an API key. */
  static std::string request(const std::string& aPath,
                             const std::string& aId,
                             const std::string& aMore = {},
                             const std::string& aBody = {})
  {
    std::string text = "POST " + aPath + " HTTP/1.1\r\nHost: shop.example\r\n";
    text += "X-Id: " + aId + "\r\nX-Key: secret\r\n" + aMore;
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    return text + aBody;
  }
  /** Returns a complete answer of a replica. */
  static std::string answer(const std::string& aId,
                            const std::string& aBody,
                            const std::string& aStatus = "200 OK",
                            const std::string& aMore = "X-Stamp: s\r\n")
  {
    return "HTTP/1.1 " + aStatus + "\r\nX-Id: " + aId + "\r\n" + aMore +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }
  /** Returns the head of a chunked answer. */
  static std::string streamHead(const std::string& aId)
  {
    return "HTTP/1.1 200 OK\r\nX-Id: " + aId +
           "\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  /** Returns the text of an event. */
  static std::string eventText(int aId, const std::string& aData = "x")
  {
    return "id: " + std::to_string(aId) + "\ndata: " + aData + "\n\n";
  }
  /** Returns a chunk of a chunked body. */
  static std::string chunk(const std::string& aBytes)
  {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
    return size.data() + aBytes + "\r\n";
  }
  /** Returns a chunk with one event. */
  static std::string event(int aId) { return chunk(eventText(aId)); }
  static constexpr const char* kLastChunk = "0\r\n\r\n";
};

} // namespace poplartrack::relaytest
