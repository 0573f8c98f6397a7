#include "ByteBlocks.h"

#include <algorithm>
#include <utility>

namespace poplartrack {

void
ByteBlocks::append(std::string_view aBytes)
{
  this->total += aBytes.size();
  while (!aBytes.empty()) {
    if (this->blocks.empty()) {
      this->blocks.emplace_back();
    } else if (this->blocks.back().size() >= kBlockBytes) {
      this->blocks.emplace_back().reserve(kBlockBytes);
    }
    std::string& last = this->blocks.back();
    const std::size_t count =
      std::min(aBytes.size(), kBlockBytes - last.size());
    last.append(aBytes.substr(0, count));
    aBytes.remove_prefix(count);
  }
}

void
ByteBlocks::append(std::string aBytes)
{
  const bool fits = !this->blocks.empty() &&
                    this->blocks.back().size() + aBytes.size() <= kBlockBytes;
  if (fits) {
    this->append(std::string_view{ aBytes });
  } else if (!aBytes.empty()) {
    this->total += aBytes.size();
    this->blocks.push_back(std::move(aBytes));
  }
}

void
ByteBlocks::append(ByteBlocks aBytes)
{
  if (aBytes.used > 0) {
    aBytes.blocks.front().erase(0, std::exchange(aBytes.used, 0));
  }
  for (std::string& block : aBytes.blocks) {
    this->append(std::move(block));
  }
}

std::string_view
ByteBlocks::front() const
{
  return this->blocks.empty()
           ? std::string_view{}
           : std::string_view{ this->blocks.front() }.substr(this->used);
}

void
ByteBlocks::consume(std::size_t aCount)
{
  this->total -= aCount;
  this->used += aCount;
  if (this->total == 0) {
    this->clear();
  } else if (this->used == this->blocks.front().size()) {
    this->blocks.erase(this->blocks.begin());
    this->used = 0;
  }
}

std::string
ByteBlocks::takeJoined()
{
  std::string joined;
  if (this->blocks.size() == 1 && this->used == 0) {
    joined = std::move(this->blocks.front());
  } else if (!this->blocks.empty()) {
    joined.reserve(this->total);
    joined.append(this->front());
    for (std::size_t i = 1; i < this->blocks.size(); ++i) {
      joined.append(this->blocks[i]);
    }
  }
  this->clear();
  return joined;
}

void
ByteBlocks::clear()
{
  this->blocks.clear();
  this->total = 0;
  this->used = 0;
}

} // namespace poplartrack
