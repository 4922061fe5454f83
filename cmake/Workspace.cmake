# Path of the checkout for the tests. It is in a header and not a compiler flag, so that checkouts share the
# compiler cache.
set(SWITCHSADDLE_GENERATED_DIR ${CMAKE_BINARY_DIR}/generated)
file(CONFIGURE OUTPUT ${SWITCHSADDLE_GENERATED_DIR}/source_directory.h
     CONTENT "#define SWITCHSADDLE_SOURCE_DIR \"@CMAKE_SOURCE_DIR@\"\n" @ONLY)

# switchsaddle_library(NAME DEPENDS a b LINKS x): a library made of libraries/NAME/{include,source}, with one
# test program if libraries/NAME/test contains *.cc files. TEST_SHARDS n runs the program as n tests, which
# ctest can run in parallel.
function(switchsaddle_library name)
  cmake_parse_arguments(ARG "" "TEST_SHARDS" "DEPENDS;LINKS;TEST_DEPENDS" ${ARGN})
  set(root ${CMAKE_CURRENT_SOURCE_DIR}/${name})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${root}/source/*.cc)
  set(target switchsaddle_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
    target_include_directories(${target} PRIVATE ${root}/source)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${root}/include)
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(${target} ${scope} switchsaddle_${dependency})
  endforeach()
  target_link_libraries(${target} ${scope} ${ARG_LINKS})

  file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${root}/test/*.cc)
  if(tests AND SWITCHSADDLE_TESTS)
    add_executable(${name}_test ${tests})
    target_include_directories(${name}_test PRIVATE ${root}/test ${root}/source ${SWITCHSADDLE_GENERATED_DIR})
    target_link_libraries(${name}_test PRIVATE ${target} GTest::gmock GTest::gtest_main Threads::Threads)
    foreach(dependency ${ARG_TEST_DEPENDS})
      target_link_libraries(${name}_test PRIVATE switchsaddle_${dependency})
    endforeach()
    if(NOT ARG_TEST_SHARDS)
      set(ARG_TEST_SHARDS 1)
    endif()
    math(EXPR last_shard "${ARG_TEST_SHARDS} - 1")
    foreach(shard RANGE ${last_shard})
      add_test(NAME ${name}_${shard} COMMAND ${name}_test --gtest_brief=1)
      set_tests_properties(
        ${name}_${shard}
        PROPERTIES TIMEOUT 900 ENVIRONMENT
                   "GTEST_TOTAL_SHARDS=${ARG_TEST_SHARDS};GTEST_SHARD_INDEX=${shard}")
    endforeach()
  endif()
endfunction()
