#include "ReplyHead.h"

#include "HeaderText.h"
#include "LowerCase.h"

namespace poplartrack {
namespace {

/** Most bytes of header lines of a reply, with interim replies and trailers. */
constexpr std::size_t kMaxHeadBytes = std::size_t{ 64 } * 1024;

/** Replies with a lower status are interim: another one follows. */
constexpr int kFirstFinalStatus = 200;

std::string_view
withoutLineEnd(std::string_view aLine)
{
  for (const char last : { '\n', '\r' }) {
    if (aLine.ends_with(last)) {
      aLine.remove_suffix(1);
    }
  }
  return aLine;
}

} // namespace

HeadFlaw
ReplyHead::take(std::string_view aLine)
{
  this->bytes += aLine.size();
  if (this->bytes > kMaxHeadBytes) {
    return HeadFlaw::TooLarge;
  }
  const std::string_view line = withoutLineEnd(aLine);
  if (this->place == Place::StatusLine) {
    return this->takeStatusLine(line);
  }
  if (line.empty()) {
    this->end();
    return HeadFlaw::None;
  }
  return this->takeField(line);
}

HeadFlaw
ReplyHead::takeStatusLine(std::string_view aLine)
{
  this->values.clear();
  this->place = Place::InHead;
  return checkStatusLine(this->check, aLine);
}

HeadFlaw
ReplyHead::takeField(std::string_view aLine)
{
  if (hasFoldedLine(aLine)) {
    return HeadFlaw::FoldedLine;
  }
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return HeadFlaw::FieldName;
  }
  const std::string_view name = aLine.substr(0, colon);
  const std::string_view value = trimBlanks(aLine.substr(colon + 1));
  const HeadFlaw flaw = this->place == Place::InHead
                          ? this->check.onField(name, value)
                          : flawOfField(name, value);
  this->values[lowerCase(name)] = std::string{ value };
  return flaw;
}

void
ReplyHead::end()
{
  this->place = this->check.status() < kFirstFinalStatus ? Place::StatusLine
                                                         : Place::AfterHead;
}

} // namespace poplartrack
