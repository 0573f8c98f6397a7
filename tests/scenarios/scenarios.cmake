# The scenario language: Lua carries it, the words are ours.
add_executable(scenario_runner
  tests/scenarios/scenario_runner.cpp
  tests/scenarios/LuaJson.cpp
  tests/scenarios/RelayWorld.cpp
  tests/scenarios/World.cpp)
target_include_directories(scenario_runner PRIVATE tests)
target_link_libraries(scenario_runner PRIVATE soak_parts)

# Each scenario is a test of its own. They start real processes and wait for
# events, so the limit is far above what a passing run needs.
file(GLOB SCENARIOS CONFIGURE_DEPENDS tests/scenarios/cases/*.lua)
foreach(scenario ${SCENARIOS})
  get_filename_component(name ${scenario} NAME_WE)
  add_test(NAME scenario.${name}
    COMMAND scenario_runner ${CMAKE_BINARY_DIR}
            ${CMAKE_SOURCE_DIR}/tests/scenarios/prelude.lua ${scenario})
  set_tests_properties(scenario.${name} PROPERTIES TIMEOUT 180 LABELS scenario
    # Ten to twenty processes each: four at a time on twelve cores.
    PROCESSORS 3)
endforeach()
