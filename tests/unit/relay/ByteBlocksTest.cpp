#include "../../../src/relay/ByteBlocks.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

constexpr std::size_t kLarge = std::size_t{ 1 } << 20U;

/** Returns all bytes in the order in which they are consumed. */
std::string
consumeAll(ByteBlocks& aBytes)
{
  std::string text;
  while (!aBytes.empty()) {
    const std::string_view front = aBytes.front().substr(0, 1'000);
    text.append(front);
    aBytes.consume(front.size());
  }
  return text;
}

TEST(ByteBlocks, GivesBytesBackInOrder)
{
  ByteBlocks bytes;
  std::string expected;
  for (std::size_t i = 0; expected.size() < kLarge; ++i) {
    const std::string part(i % 3'000, static_cast<char>('a' + i % 26));
    bytes.append(std::string_view{ part });
    expected += part;
  }
  EXPECT_EQ(bytes.size(), expected.size());
  EXPECT_EQ(consumeAll(bytes), expected);
  EXPECT_EQ(bytes.held(), 0U);
}

TEST(ByteBlocks, JoinsWhatIsLeft)
{
  ByteBlocks bytes{ std::string(kLarge, 'x') };
  bytes.consume(1);
  bytes.append(std::string{ "end" });
  const std::string joined = bytes.takeJoined();
  EXPECT_EQ(joined.size(), kLarge + 2);
  EXPECT_TRUE(joined.ends_with("end"));
  EXPECT_TRUE(bytes.empty());
}

TEST(ByteBlocks, AppendsTheRestOfAnother)
{
  ByteBlocks other{ std::string{ "xy" } };
  other.append(std::string(kLarge, 'z'));
  other.consume(1);
  ByteBlocks bytes{ std::string{ "a" } };
  bytes.append(std::move(other));
  EXPECT_TRUE(consumeAll(bytes).starts_with("ayz"));
}

TEST(ByteBlocks, ReleasesConsumedBlocks)
{
  // Guards against a slow reader of a large answer that keeps all of it in
  // memory.
  ByteBlocks bytes;
  for (std::size_t i = 0; i < 1'024; ++i) {
    bytes.append(std::string(1'024, 'x'));
  }
  while (bytes.size() > kLarge / 4) {
    bytes.consume(bytes.front().size());
  }
  EXPECT_LE(bytes.held(), kLarge / 2);
}

} // namespace
} // namespace poplartrack
