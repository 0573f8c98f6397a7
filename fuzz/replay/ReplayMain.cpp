// Runs a fuzz target over the files of its corpus, for builds without a
// fuzzer. A crash or abort is the failure; the last name printed is its input.

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "../FuzzTarget.h"

namespace {

void
replay(const std::filesystem::path& aFile)
{
  std::cout << aFile.filename().string() << std::endl;
  std::ifstream input{ aFile, std::ios::binary };
  const std::string bytes{ std::istreambuf_iterator<char>{ input }, {} };
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                         bytes.size());
}

} // namespace

int
main(int argc, char** argv)
{
  int count = 0;
  for (int i = 1; i < argc; ++i) {
    for (const auto& entry : std::filesystem::directory_iterator{ argv[i] }) {
      replay(entry.path());
      ++count;
    }
  }
  std::cout << count << " inputs replayed\n";
  return count > 0 ? 0 : 1;
}
