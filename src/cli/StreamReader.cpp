#include "cli/StreamReader.h"

namespace poplartrack {

std::vector<std::uint32_t>
StreamReader::feed(std::string_view aBytes)
{
  std::vector<std::uint32_t> fresh;
  for (const char letter : aBytes) {
    if (letter != '\n') {
      this->partial += letter;
      continue;
    }
    this->takeLine(this->partial, fresh);
    this->partial.clear();
  }
  return fresh;
}

void
StreamReader::takeLine(const std::string& aLine,
                       std::vector<std::uint32_t>& aFresh)
{
  const nlohmann::json line = nlohmann::json::parse(aLine, nullptr, false);
  if (!line.is_object() || this->hasEnd || this->hasFailed) {
    this->broken = true;
    return;
  }
  if (line.contains("end")) {
    this->hasEnd = true;
    this->lastLine = line.at("end");
    return;
  }
  if (line.contains("failed")) {
    this->hasFailed = true;
    this->lastLine = line.at("failed");
    return;
  }
  if (line.value("index", this->received.size() + 1) != this->received.size()) {
    this->broken = true;
    return;
  }
  this->received.push_back(line.value("token", 0U));
  aFresh.push_back(this->received.back());
}

bool
StreamReader::whole() const
{
  return this->hasEnd && !this->broken && this->lastLine.is_object() &&
         this->lastLine.value("tokens", this->received.size() + 1) ==
           this->received.size();
}

} // namespace poplartrack
