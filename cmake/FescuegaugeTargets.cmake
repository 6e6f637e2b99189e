# fescuegauge_library(NAME [LABEL label] [DEPENDS target...])
#
# Builds every *.cpp of the current folder except *_test.cpp into the static library fescuegauge_NAME,
# and the *_test.cpp files into the Catch2 program NAME_test. Test cases tagged [random] run under the
# ctest label "random", the others under LABEL. Cases tagged [known-red] are listed in KNOWN-RED.txt and
# run by scripts/test-known-red.
function(fescuegauge_library NAME)
  cmake_parse_arguments(ARG "" "LABEL" "DEPENDS;TEST_DEPENDS" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp *.c++)
  file(GLOB TESTS CONFIGURE_DEPENDS *_test.cpp)
  if(TESTS)
    list(REMOVE_ITEM SOURCES ${TESTS})
  endif()
  if(SOURCES)
    add_library(fescuegauge_${NAME} STATIC ${SOURCES})
    set(VISIBILITY PUBLIC)
  else()
    add_library(fescuegauge_${NAME} INTERFACE)
    set(VISIBILITY INTERFACE)
  endif()
  target_include_directories(fescuegauge_${NAME} ${VISIBILITY} ${PROJECT_SOURCE_DIR}/src/include)
  target_link_libraries(fescuegauge_${NAME} ${VISIBILITY} ${ARG_DEPENDS})
  if(TESTS AND NOT FESCUEGAUGE_NODE_ONLY)
    fescuegauge_test_program(${NAME}_test LABEL ${ARG_LABEL} SOURCES ${TESTS}
      DEPENDS fescuegauge_${NAME} ${ARG_TEST_DEPENDS})
  endif()
endfunction()

# fescuegauge_test_program(NAME LABEL label SOURCES file... DEPENDS target...)
function(fescuegauge_test_program NAME)
  cmake_parse_arguments(ARG "" "LABEL" "SOURCES;DEPENDS" ${ARGN})
  # The main function of Catch takes 25 s to compile, so all test programs share one object file.
  if(NOT TARGET fescuegauge_test_main)
    add_library(fescuegauge_test_main OBJECT ${PROJECT_SOURCE_DIR}/src/libbase/TestMain.cc)
    target_link_libraries(fescuegauge_test_main PUBLIC Catch2::Catch2)
  endif()
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} fescuegauge_test_main)
  add_test(NAME ${NAME} COMMAND ${NAME} "~[random]~[known-red]")
  set_tests_properties(${NAME} PROPERTIES LABELS "${ARG_LABEL}")
  foreach(SOURCE ${ARG_SOURCES})
    file(STRINGS ${SOURCE} RANDOM_CASES REGEX "\\[random\\]")
    if(RANDOM_CASES)
      set(HAS_RANDOM_CASES TRUE)
    endif()
  endforeach()
  if(HAS_RANDOM_CASES)
    add_test(NAME ${NAME}_random COMMAND ${NAME} "[random]~[known-red]")
    set_tests_properties(${NAME}_random PROPERTIES LABELS "random")
  endif()
endfunction()

# fescuegauge_bench(NAME DEPENDS target...)
#
# Builds NAME.cpp of the current folder into a program that prints figures and exits with 1 if one
# misses its bound. It runs under the ctest label "bench" and from scripts/figures.
function(fescuegauge_bench NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_executable(${NAME} ${NAME}.cpp)
  target_link_libraries(${NAME} PRIVATE fescuegauge_base ${ARG_DEPENDS})
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bench)
  add_test(NAME ${NAME} COMMAND ${NAME})
  set_tests_properties(${NAME} PROPERTIES LABELS "bench")
endfunction()
