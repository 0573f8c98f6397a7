#include "platform/Utf8Repair.h"

#include <gtest/gtest.h>

#include "platform/Json.h"

namespace poplartrack {
namespace {

/** Returns what a JSON string with these bytes is read as. */
std::string
readBack(const std::string& aBytes)
{
  const auto document =
    json_read::JsonDocument::parse(repairUtf8("{\"k\":\"" + aBytes + "\"}"));
  return document ? unrepairedBytes(json_read::textView(**document, "k"))
                  : "unreadable";
}

TEST(Utf8Repair, AWellFormedTextStaysAsItIs)
{
  for (const std::string text : { "",
                                  "plain",
                                  "\xC3\xA9 \xE2\x82\xAC \xF0\x9F\x8C\xB3",
                                  R"(\\ \" \n \u00e9 \ud83c\udf33 \\ud800)" }) {
    EXPECT_EQ(repairUtf8(text), text);
  }
}

// Guards against a text that stays unreadable, or is read as another one.
TEST(Utf8Repair, AnyBytesCanBeReadBack)
{
  for (const std::string bytes : { "\xFF",
                                   "\x80",
                                   "a\xC3",
                                   "\xC3(",
                                   "\xE2\x82",
                                   "\xC0\xAF",
                                   "\xED\xA0\x80",
                                   "\xF5\x80\x80\x80",
                                   "\xF0\x9F\x8C",
                                   "\xFE\xC3\xA9\xFF" }) {
    EXPECT_FALSE(isUtf8(bytes));
    EXPECT_EQ(readBack(bytes), bytes);
  }
}

// Guards against an escape that JSON allows and that no UTF-8 can encode.
TEST(Utf8Repair, SurrogatesWithoutTheirPairCanBeReadBack)
{
  EXPECT_EQ(readBack(R"(\ud800)"), "\xED\xA0\x80");
  EXPECT_EQ(readBack(R"(a\uDFFFb)"),
            "a\xED\xBF\xBF"
            "b");
  EXPECT_EQ(readBack(R"(\ud800\ud83c\udf33)"), "\xED\xA0\x80\xF0\x9F\x8C\xB3");
  EXPECT_EQ(readBack(R"(\\ud800)"), R"(\ud800)");
}

} // namespace
} // namespace poplartrack
