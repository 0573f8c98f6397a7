#pragma once

#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "harness/RawSocket.h"
#include "poplartrack/http/HttpClient.h"

namespace poplartrack::httptest {

using harness::RawListener;
using harness::RawSocket;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kReply =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

inline std::unique_ptr<HttpClient>
newClient(HttpClientLimits aLimits = {})
{
  return std::move(HttpClient::create(aLimits)).value();
}

inline HttpCall
callTo(const Address& aPeer)
{
  HttpCall call;
  call.url = "http://" + toText(aPeer) + "/";
  return call;
}

inline std::future<HttpResult>
start(HttpClient& aClient, HttpCall aCall)
{
  return std::async(std::launch::async, [&aClient, call = std::move(aCall)] {
    return aClient.sendAndWait(call);
  });
}

/** Sends a call with this framing, and returns how it ends when the peer sends
 * these bytes and closes the connection. */
inline HttpResult
callAnswered(std::string_view aBytes,
             BodyFraming aFraming = BodyFraming::Required)
{
  const auto client = newClient();
  RawListener listener;
  HttpCall call = callTo(listener.address());
  call.framing = aFraming;
  std::future<HttpResult> result = start(*client, call);
  RawSocket peer = listener.accept();
  peer.readUntil(kHeadEnd);
  peer.send(aBytes);
  peer.close();
  return result.get();
}

} // namespace poplartrack::httptest
