#include "harness/TcpForwarder.h"

#include <sys/socket.h>

#include <future>

#include <gtest/gtest.h>

#include "harness/RawSocket.h"

namespace poplartrack::harness {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(TcpForwarder, passesBytesAndEndsBothWays)
{
  RawListener target;
  TcpForwarder link{ target.address() };
  RawSocket client = RawSocket::connectTo(link.address());
  RawSocket server = target.accept();
  const std::string large(3U << 20U, 'x');
  std::future<bool> sent =
    std::async(std::launch::async, [&] { return client.send(large + "!"); });
  EXPECT_EQ(server.readUntil("!").size(), large.size() + 1);
  EXPECT_TRUE(sent.get());
  server.send("back");
  server.close();
  EXPECT_EQ(client.readToEnd(), "back");
}

TEST(TcpForwarder, cutResetsAndHealPassesAgain)
{
  RawListener target;
  TcpForwarder link{ target.address() };
  RawSocket client = RawSocket::connectTo(link.address());
  client.send("a");
  RawSocket server = target.accept();
  server.readUntil("a");
  link.cut();
  EXPECT_EQ(client.readToEnd(), "");
  EXPECT_EQ(server.readToEnd(), "");
  EXPECT_EQ(RawSocket::connectTo(link.address()).readToEnd(), "");
  link.heal();
  RawSocket again = RawSocket::connectTo(link.address());
  again.send("b");
  EXPECT_EQ(target.accept().readUntil("b"), "b");
}

TEST(TcpForwarder, cutAnswersEndsLaterAnswersAndNoOther)
{
  RawListener target;
  TcpForwarder link{ target.address() };
  RawSocket running = RawSocket::connectTo(link.address());
  running.send("a");
  RawSocket runningServer = target.accept();
  runningServer.readUntil("a");
  link.cutAnswers(3);
  RawSocket client = RawSocket::connectTo(link.address());
  client.send("b");
  RawSocket server = target.accept();
  server.readUntil("b");
  server.send("ab");
  server.send("cde");
  EXPECT_EQ(client.readToEnd(), "abc");
  runningServer.send("whole answer!");
  EXPECT_EQ(running.readUntil("!"), "whole answer!");
  link.cutAnswers(0);
  RawSocket later = RawSocket::connectTo(link.address());
  later.send("c");
  RawSocket laterServer = target.accept();
  laterServer.readUntil("c");
  laterServer.send("whole answer!");
  EXPECT_EQ(later.readUntil("!"), "whole answer!");
}

TEST(TcpForwarder, freezeHoldsBytesUntilHeal)
{
  RawListener target;
  TcpForwarder link{ target.address() };
  RawSocket client = RawSocket::connectTo(link.address());
  client.send("a");
  RawSocket server = target.accept();
  server.readUntil("a");
  link.freeze();
  client.send("b");
  RawSocket late = RawSocket::connectTo(link.address());
  late.send("c");
  link.heal();
  EXPECT_EQ(server.readUntil("b"), "b");
  EXPECT_EQ(target.accept().readUntil("c"), "c");
}

/** Two connected non-blocking sockets. */
struct SocketPair
{
  SocketPair()
  {
    int fds[2];
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
    this->near = OwnedFd{ fds[0] };
    this->far = OwnedFd{ fds[1] };
  }
  void write(std::string_view aBytes) const
  {
    EXPECT_EQ(::write(this->near.get(), aBytes.data(), aBytes.size()),
              static_cast<ssize_t>(aBytes.size()));
  }
  [[nodiscard]] std::string read() const
  {
    char buffer[64];
    const ssize_t got = ::read(this->near.get(), buffer, sizeof buffer);
    return got <= 0 ? "" : std::string(buffer, static_cast<std::size_t>(got));
  }

  OwnedFd near;
  OwnedFd far;
};

TEST(TcpForwarder, delayAndRateSayWhenBytesAreDue)
{
  const SocketPair source;
  const SocketPair sink;
  ManualClock clock;
  ForwardRules rules;
  rules.delay = milliseconds{ 100 };
  rules.bytesPerSecond = 10;
  ForwardedBytes bytes;
  const auto pass = [&] {
    EXPECT_TRUE(bytes.readFrom(source.far.get(), rules, clock.now()));
    EXPECT_TRUE(bytes.writeTo(sink.far.get(), clock.now()));
    return sink.read();
  };
  source.write("0123456789");
  EXPECT_EQ(pass(), "");
  EXPECT_EQ(bytes.nextDue(), clock.now() + seconds{ 1 } + rules.delay);
  clock.advance(seconds{ 1 });
  source.write("x");
  EXPECT_EQ(pass(), "");
  clock.advance(rules.delay);
  EXPECT_EQ(pass(), "0123456789");
  // One byte takes a tenth of a second behind the ten before it.
  EXPECT_EQ(bytes.nextDue(), clock.now() + milliseconds{ 100 });
}

} // namespace
} // namespace poplartrack::harness
