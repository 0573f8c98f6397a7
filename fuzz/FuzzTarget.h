#pragma once

#include <cstddef>
#include <cstdint>

/** The entry point that libFuzzer calls with each input; always returns 0. A
 * crash or abort is a finding. The name is libFuzzer's. */
// NOLINTBEGIN(readability-identifier-naming)
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);
// NOLINTEND(readability-identifier-naming)
