# Fuzz targets: each fuzz/NAME.cpp defines LLVMFuzzerTestOneInput and has its
# corpus in fuzz/corpus/NAME/.
#
#   cmake -S . -B build-fuzz -G Ninja -DPOPLARTRACK_FUZZ=ON \
#     -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++
#   cmake --build build-fuzz --target fuzz_decode_frame
#   build-fuzz/fuzz_decode_frame -max_total_time=60 fuzz/corpus/decode_frame
#
# Without POPLARTRACK_FUZZ, any compiler builds replay_NAME, which runs the
# committed corpus through the target once; ctest calls it.
file(GLOB FUZZ_TARGETS CONFIGURE_DEPENDS ${CMAKE_CURRENT_LIST_DIR}/*.cpp)
set(FUZZ_FLAGS -fsanitize=fuzzer-no-link,address,undefined
               -fno-sanitize-recover=undefined)
if(POPLARTRACK_FUZZ)
  if(NOT CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
    message(FATAL_ERROR "POPLARTRACK_FUZZ needs clang and libclang-rt-14-dev")
  endif()
  target_compile_options(poplartrack_core PRIVATE ${FUZZ_FLAGS})
  target_compile_options(poplartrack_platform PRIVATE ${FUZZ_FLAGS})
endif()
foreach(target ${FUZZ_TARGETS})
  get_filename_component(name ${target} NAME_WE)
  set(corpus ${CMAKE_CURRENT_LIST_DIR}/corpus/${name})
  if(POPLARTRACK_FUZZ)
    add_executable(fuzz_${name} EXCLUDE_FROM_ALL ${target})
    target_compile_options(fuzz_${name} PRIVATE ${FUZZ_FLAGS})
    target_link_options(fuzz_${name} PRIVATE
                        -fsanitize=fuzzer,address,undefined)
    target_link_libraries(fuzz_${name} PRIVATE poplartrack_platform)
  else()
    add_executable(replay_${name}
                   ${target} ${CMAKE_CURRENT_LIST_DIR}/replay/ReplayMain.cpp)
    target_link_libraries(replay_${name} PRIVATE poplartrack_platform)
    add_test(NAME fuzz.replay_${name} COMMAND replay_${name} ${corpus})
  endif()
endforeach()
