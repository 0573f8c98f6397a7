#include "poplartrack/observe/EventLog.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

/** A pipe as a process's standard output. */
class Pipe
{
public:
  Pipe()
  {
    std::array<int, 2> ends{};
    EXPECT_EQ(::pipe(ends.data()), 0);
    this->reader = ends[0];
    this->writer = ends[1];
    ::fcntl(this->reader, F_SETFL, O_NONBLOCK);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  ~Pipe()
  {
    ::close(this->reader);
    ::close(this->writer);
  }
  std::string read() const
  {
    std::string all;
    std::array<char, 4096> bytes{};
    ssize_t count = 0;
    while ((count = ::read(this->reader, bytes.data(), bytes.size())) > 0) {
      all.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return all;
  }
  int reader = -1;
  int writer = -1;
};

TEST(EventLog, WritesAPrefixAnEventAndItsValues)
{
  const Pipe pipe;
  EventLog log{ pipe.writer };
  log.write(LogLine{ LogPart::Request, "refused" }
              .with("id", "abc")
              .with("reason", "two words \"quoted\"")
              .with("ms", 12));
  log.flush();
  const std::string text = pipe.read();
  EXPECT_TRUE(text.starts_with("request: event=refused id=abc "
                               "reason=\"two words \\\"quoted\\\"\" ms=12 "))
    << text;
}

TEST(EventLog, AReaderThatStopsReadingCostsLinesAndNothingElse)
{
  // The pipe is full and nobody reads. Each call must return; what does not
  // fit is counted.
  const Pipe pipe;
  EventLog log{ pipe.writer };
  const std::string text(2'000, 'x');
  for (const LogPart part :
       { LogPart::Request, LogPart::Path, LogPart::Store, LogPart::Config }) {
    for (int i = 0; i < 100; ++i) {
      log.write(LogLine{ part, "long" }.with("text", text));
      log.flush();
    }
  }
  EXPECT_GT(log.dropped(), 0U);
  EXPECT_FALSE(pipe.read().empty());
}

TEST(EventLog, OneBusyPartDoesNotHideTheOthers)
{
  const Pipe pipe;
  EventLog log{ pipe.writer };
  for (int i = 0; i < 1'000; ++i) {
    log.write(LogLine{ LogPart::Request, "answered" }.with("n", i));
  }
  log.write(LogLine{ LogPart::Lease, "taken" });
  log.flush();
  EXPECT_NE(pipe.read().find("lease: event=taken"), std::string::npos);
  EXPECT_GT(log.dropped(), 0U);
}

} // namespace
} // namespace poplartrack
