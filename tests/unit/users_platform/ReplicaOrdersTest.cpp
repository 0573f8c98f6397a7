#include "platform/ReplicaOrders.h"

#include <future>

#include <gtest/gtest.h>

#include "poplartrack/http/HttpServer.h"

namespace poplartrack {
namespace {

TEST(ReplicaOrders, ARequestIdThatIsNoUtf8EndsNoProcess)
{
  constexpr int kNotFound = 404;
  const auto replica = HttpServer::create(
    { "127.0.0.1", 0 },
    [](const HttpRequest&) {
      HttpReply reply;
      reply.status = kNotFound;
      return reply;
    },
    HttpServerLimits{});
  ASSERT_TRUE(replica);
  const auto http = HttpClient::create(HttpClientLimits{});
  ASSERT_TRUE(http);
  ReplicaOrders orders{ *http.value(),
                        [](const Address&, const ReplicaSignals&) {} };
  std::promise<RepathOutcome> outcome;
  orders.calls().repath(
    replica.value()->address(),
    "caf\xe9",
    LayerPath{},
    [&outcome](RepathOutcome aOutcome) { outcome.set_value(aOutcome); });
  EXPECT_EQ(outcome.get_future().get(), RepathOutcome::NoSuchRequest);
}

} // namespace
} // namespace poplartrack
