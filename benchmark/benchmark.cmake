# Benchmarks: one program a file; their parts stand in folders beside them.
file(GLOB SYSTEM_BENCH_SOURCES CONFIGURE_DEPENDS
  ${CMAKE_SOURCE_DIR}/benchmark/system/*.cpp)
add_library(system_bench_parts STATIC ${SYSTEM_BENCH_SOURCES})
target_include_directories(system_bench_parts PUBLIC
  ${CMAKE_SOURCE_DIR}/benchmark ${CMAKE_SOURCE_DIR}/tests)
target_link_libraries(system_bench_parts PUBLIC poplartrack_core harness)
target_link_libraries(system_bench PRIVATE system_bench_parts)

# The shipped program with another choice of path. The first definition of a
# function wins, and the baseline's stands before the library: nothing of it
# is in the shipped binary, and nothing else differs.
foreach(rule Random RoundRobin LeastLoaded)
  set(name poplartrack_baseline_${rule})
  add_executable(${name} ${CMAKE_SOURCE_DIR}/benchmark/baseline/RuleGraph.cpp
                 ${CMAKE_SOURCE_DIR}/tools/poplartrack.cpp ${CLI_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src
                                             ${CMAKE_SOURCE_DIR}/benchmark)
  target_compile_definitions(${name} PRIVATE POPLARTRACK_BASELINE=${rule})
  target_link_options(${name} PRIVATE -Wl,--allow-multiple-definition)
  target_link_libraries(${name} PRIVATE poplartrack_platform)
endforeach()
