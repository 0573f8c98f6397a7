#include "poplartrack/base/TcpSocket.h"

#include <sys/socket.h>

#include <cerrno>

#include <gtest/gtest.h>

#include "harness/RawSocket.h"

namespace poplartrack {
namespace {

// Guards against a reset that a look at the socket consumes: the read that
// follows would return 0, as at a regular end.
TEST(TcpSocket, aLookForUnreadBytesLeavesAResetToBeRead)
{
  harness::RawListener listener;
  const OwnedFd fd = std::move(connectTcp(listener.address())).value();
  harness::RawSocket peer = listener.accept();
  EXPECT_FALSE(hasUnread(fd.get()));
  peer.reset();
  while (!hasUnread(fd.get())) {
  }
  char next = 0;
  EXPECT_EQ(::recv(fd.get(), &next, 1, MSG_DONTWAIT), -1);
  EXPECT_EQ(errno, ECONNRESET);
}

TEST(TcpSocket, bytesAndARegularEndAreUnread)
{
  harness::RawListener listener;
  const OwnedFd fd = std::move(connectTcp(listener.address())).value();
  harness::RawSocket peer = listener.accept();
  peer.send("x");
  while (!hasUnread(fd.get())) {
  }
  char next = 0;
  EXPECT_EQ(::recv(fd.get(), &next, 1, MSG_DONTWAIT), 1);
  EXPECT_FALSE(hasUnread(fd.get()));
  peer.endWriting();
  while (!hasUnread(fd.get())) {
  }
  EXPECT_EQ(::recv(fd.get(), &next, 1, MSG_DONTWAIT), 0);
}

} // namespace
} // namespace poplartrack
