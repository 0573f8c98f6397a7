# The fault soak: real relays, stand-in replicas, faults from outside.
add_library(soak_parts STATIC
  tests/soak/SoakCaller.cpp
  tests/soak/SoakConfig.cpp
  tests/soak/SoakJudge.cpp
  tests/soak/SoakPlan.cpp
  tests/soak/SoakWorld.cpp)
target_include_directories(soak_parts PUBLIC tests)
target_link_libraries(soak_parts PUBLIC harness)
add_executable(soak tests/soak/soak.cpp)
target_link_libraries(soak PRIVATE soak_parts)

# Three fixed seeds in CI. What is checked does not depend on how fast the
# machine is; the limit is far above what a run takes.
add_test(NAME soak.three_seeds
  COMMAND soak ${CMAKE_BINARY_DIR} --seed=1 --seeds=3 --seconds=6)
set_tests_properties(soak.three_seeds PROPERTIES TIMEOUT 300 PROCESSORS 3)

# The same with replicas that reject requests or announce their drain, and a
# store that is restored from a copy.
add_test(NAME soak.three_seeds_with_signals
  COMMAND soak ${CMAKE_BINARY_DIR} --seed=1 --seeds=3 --seconds=6 --signals)
# The same with requests that have a prompt part that crashes replicas.
add_test(NAME soak.three_seeds_with_a_deadly_part
  COMMAND soak ${CMAKE_BINARY_DIR} --seed=1 --seeds=3 --seconds=8 --deadly-part)
set_tests_properties(soak.three_seeds_with_a_deadly_part
  PROPERTIES TIMEOUT 300 PROCESSORS 3)
set_tests_properties(soak.three_seeds_with_signals
  PROPERTIES TIMEOUT 300 PROCESSORS 3)

# The same with several client accounts, floods, uneven replicas and relays that
# make all decisions under load.
add_test(NAME soak.three_seeds_with_contention
  COMMAND soak ${CMAKE_BINARY_DIR} --seed=1 --seeds=3 --seconds=6 --contention)
set_tests_properties(soak.three_seeds_with_contention
  PROPERTIES TIMEOUT 300 PROCESSORS 3)

# The same with replicas that answer with bytes that do not end.
add_test(NAME soak.three_seeds_with_endless_answers
  COMMAND soak ${CMAKE_BINARY_DIR} --seed=1 --seeds=3 --seconds=6 --endless)
set_tests_properties(soak.three_seeds_with_endless_answers
  PROPERTIES TIMEOUT 300 PROCESSORS 3)

# The same with replicas that are silent for a second and ones that stop within
# the head of their answers, beside changes, signals and restarts.
add_test(NAME soak.three_seeds_with_silences
  COMMAND soak ${CMAKE_BINARY_DIR} --seed=1 --seeds=3 --seconds=6 --signals
          --silences --callers=20)
set_tests_properties(soak.three_seeds_with_silences
  PROPERTIES TIMEOUT 300 PROCESSORS 3)

# The same with members of the desired state that are taken out, emptied,
# raised, lowered and put back, beside kills, cuts and signals.
add_test(NAME soak.three_seeds_with_member_changes
  COMMAND soak ${CMAKE_BINARY_DIR} --seed=1 --seeds=3 --seconds=6 --members)
set_tests_properties(soak.three_seeds_with_member_changes
  PROPERTIES TIMEOUT 300 PROCESSORS 3)
