#include "poplartrack/relay/HeaderList.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace poplartrack {
namespace {

/** Fields that are hop-by-hop in every message. */
constexpr std::array<std::string_view, 9> kHopByHop{
  "connection", "keep-alive",        "proxy-authenticate",
  "te",         "transfer-encoding", "proxy-authorization",
  "trailer",    "upgrade",           "proxy-connection",
};

char
toLower(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z'
           ? static_cast<char>(aLetter - 'A' + 'a')
           : aLetter;
}

std::string_view
trim(std::string_view aText)
{
  const auto blank = [](char aLetter) {
    return aLetter == ' ' || aLetter == '\t';
  };
  while (!aText.empty() && blank(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && blank(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

} // namespace

bool
sameToken(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](char aOne, char aOther) {
                      return toLower(aOne) == toLower(aOther);
                    });
}

std::optional<std::string_view>
HeaderList::find(std::string_view aName) const
{
  for (const Field& field : this->fields) {
    if (sameToken(field.first, aName)) {
      return field.second;
    }
  }
  return std::nullopt;
}

std::size_t
HeaderList::count(std::string_view aName) const
{
  return static_cast<std::size_t>(std::count_if(
    this->fields.begin(), this->fields.end(), [aName](const Field& aField) {
      return sameToken(aField.first, aName);
    }));
}

bool
HeaderList::hasToken(std::string_view aName, std::string_view aToken) const
{
  for (const Field& field : this->fields) {
    if (!sameToken(field.first, aName)) {
      continue;
    }
    std::string_view rest = field.second;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      if (sameToken(trim(rest.substr(0, comma)), aToken)) {
        return true;
      }
      rest = comma == std::string_view::npos ? std::string_view{}
                                             : rest.substr(comma + 1);
    }
  }
  return false;
}

bool
isHopByHop(const HeaderList& aHeaders, std::string_view aName)
{
  const bool alwaysHopByHop =
    std::any_of(kHopByHop.begin(), kHopByHop.end(), [&](std::string_view aHop) {
      return sameToken(aHop, aName);
    });
  return alwaysHopByHop || aHeaders.hasToken("connection", aName);
}

} // namespace poplartrack
