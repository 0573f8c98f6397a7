// Replicas that answer before they have read the request.

#include <future>

#include "RelayReplacementFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** More than the sockets of both sides take: the relay is still writing when
 * the answer arrives. */
constexpr std::size_t kUploadBytes = std::size_t{ 32 } << 20U;

const std::string kUnframed = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n"
                              "\r\npart";

class EarlyAnswer : public RelayFixture
{
protected:
  EarlyAnswer()
  {
    this->world.config->limits.bodyBytes = 2 * kUploadBytes;
    this->world.memoryMb = 1'024;
  }
  /** Sends a request with a long body, of which the replica reads the head and
   * the beginning: it closes its connection with bytes unread, by a reset. */
  void upload(const std::string& aPath)
  {
    this->caller.emplace(this->world.caller());
    this->caller->send(
      RelayWorld::request(aPath, "id-1", {}, std::string(kUploadBytes, 'x')));
    this->replica.emplace(this->nextAttempt());
    this->replica->readBytes(1);
  }
};

TEST_F(EarlyAnswer, ThatIsResetOnTheWayIsAnOutcomeUnknown)
{
  // Guards against part of a body that is taken for all of it, because the
  // failing write of the request has consumed the reset.
  this->startWith("plain", { "one" });
  this->upload("/once/x");
  this->replica->send(kUnframed);
  this->replica->close();
  const std::string answer = this->expectStatus("502 ");
  EXPECT_FALSE(has(answer, "X-Stamp")) << answer;
}

TEST_F(EarlyAnswer, ThatIsResetOnTheWayIsRepeatedIfItMayBe)
{
  this->startWith("plain", { "one", "two" });
  this->upload("/again/x");
  this->replica->send(kUnframed);
  this->replica->close();
  RawSocket second = this->nextAttempt();
  second.send(RelayWorld::answer("id-1", "whole"));
  EXPECT_TRUE(this->caller->readUntil("whole").starts_with("HTTP/1.1 200 "));
}

TEST_F(EarlyAnswer, ThatIsResetAfterAnEventIsResumed)
{
  // Guards against a stream that ends as complete after a part of its events.
  this->startWith("model", { "one", "two" });
  this->upload("/stream/x");
  this->replica->send("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n\r\n" +
                      RelayWorld::eventText(1));
  this->caller->readUntil("id: 1\n");
  this->replica->reset();
  this->expectResumed(this->one);
}

TEST_F(EarlyAnswer, ThatEndsProperlyIsWhole)
{
  // Guards against a refusal of what a replica may do: answer, end, and reset
  // the rest of the upload.
  this->startWith("plain", { "one" });
  this->upload("/once/x");
  this->replica->send(kUnframed);
  this->replica->endWriting();
  const std::string answer = this->caller->readUntil("part");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_TRUE(has(answer, "Content-Length: 4\r\n")) << answer;
}

TEST_F(EarlyAnswer, ThatEndsProperlyBeforeItsResetIsWhole)
{
  // The relay learns of the end and of the reset at once.
  this->startWith("plain", { "one" });
  this->upload("/once/x");
  std::promise<void> blocked;
  std::promise<void> release;
  this->world.loop->post([&] {
    blocked.set_value();
    release.get_future().wait();
  });
  blocked.get_future().wait();
  this->replica->send(kUnframed);
  this->replica->endWriting();
  this->replica->close();
  release.set_value();
  const std::string answer = this->caller->readUntil("part");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

TEST_F(EarlyAnswer, WithoutEndIsClosedWhileTheUploadIsWritten)
{
  // Guards against bounds that hold only once the request is written.
  constexpr std::size_t kEnough = std::size_t{ 64 } << 20U;
  const std::string start = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n";
  this->world.adjust = [](RelaySettings& aSettings) {
    aSettings.answerMb = 1;
    aSettings.bulkReadShare = 1;
  };
  this->startWith("plain", { "one" });
  for (const std::string& begun :
       { start + "\r\n", start, std::string{ "HTTP/1.1 200 " } }) {
    SCOPED_TRACE(begun);
    this->upload("/once/x");
    std::string block;
    while (block.size() < 4'096) {
      block += "Name: value\r\n";
    }
    bool isOpen = this->replica->send(begun);
    for (std::size_t sent = 0; isOpen && sent < kEnough; sent += block.size()) {
      isOpen = this->replica->send(block);
    }
    EXPECT_FALSE(isOpen);
    this->expectStatus("502 ");
  }
}

TEST_F(EarlyAnswer, WithALengthIsWholeWhateverFollows)
{
  this->startWith("plain", { "one" });
  this->upload("/once/x");
  this->replica->send(RelayWorld::answer("id-1", "whole"));
  this->replica->close();
  EXPECT_TRUE(this->caller->readUntil("whole").starts_with("HTTP/1.1 200 "));
}

} // namespace
} // namespace poplartrack
