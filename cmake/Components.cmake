# lovagecross_component(NAME [DEPS target...]) defines, from the files of the current folder:
#   lovagecross_NAME   a library of every *.cpp that is neither a *Test.cpp nor a *Main.cpp
#                      (an interface library where there is none)
#   NAMETests          the CppUnit tests of every *Test.cpp, run by CTest as unit.NAME; each suite of SEPARATE_SUITES
#                      as unit.NAME.SUITE instead
function(lovagecross_component name)
  cmake_parse_arguments(ARG "" "" "DEPS;TEST_DEPS;SEPARATE_SUITES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp *.cc)
  set(tests ${sources})
  list(FILTER tests INCLUDE REGEX "Test\\.cpp$")
  list(FILTER sources EXCLUDE REGEX "(Test|Main)\\.cpp$")
  if(sources)
    add_library(lovagecross_${name} STATIC ${sources})
    target_include_directories(lovagecross_${name} PUBLIC $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}>
                                                          $<INSTALL_INTERFACE:include>)
    target_link_libraries(lovagecross_${name} PUBLIC ${ARG_DEPS})
    target_link_libraries(lovagecross_${name} PRIVATE $<BUILD_INTERFACE:lovagecross_warnings>)
  else()
    add_library(lovagecross_${name} INTERFACE)
    target_include_directories(lovagecross_${name} INTERFACE $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}>
                                                             $<INSTALL_INTERFACE:include>)
    target_link_libraries(lovagecross_${name} INTERFACE ${ARG_DEPS})
  endif()
  if(tests AND LOVAGECROSS_TESTS)
    add_executable(${name}Tests ${tests})
    target_link_libraries(${name}Tests PRIVATE lovagecross_${name} ${ARG_TEST_DEPS} lovagecross_testmain
                                               lovagecross_warnings)
    set(rest "")
    foreach(suite IN LISTS ARG_SEPARATE_SUITES)
      list(APPEND rest lovagecross::${suite})
      string(REGEX REPLACE ".*::" "" suite_name ${suite})
      add_test(NAME unit.${name}.${suite_name} COMMAND ${name}Tests lovagecross::${suite})
      set_tests_properties(unit.${name}.${suite_name} PROPERTIES LABELS unit TIMEOUT 120)
    endforeach()
    if(rest)
      list(PREPEND rest --without)
    endif()
    add_test(NAME unit.${name} COMMAND ${name}Tests ${rest})
    set_tests_properties(unit.${name} PROPERTIES LABELS unit TIMEOUT 120)
  endif()
endfunction()

# lovagecross_program(NAME MAIN file DEPS target...) defines one executable.
function(lovagecross_program name)
  cmake_parse_arguments(ARG "" "MAIN" "DEPS" ${ARGN})
  add_executable(${name} ${ARG_MAIN})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} lovagecross_warnings)
endfunction()

# lovagecross_named_test(TEST ctestName BINARY testsTarget CASES path...) runs only the given CppUnit test
# paths of BINARY under a CTest name of its own, such as guarantee.callsInOrder.
function(lovagecross_named_test)
  if(NOT LOVAGECROSS_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "TEST;BINARY;LABEL;TIMEOUT" "CASES" ${ARGN})
  add_test(NAME ${ARG_TEST} COMMAND ${ARG_BINARY} ${ARG_CASES})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set_tests_properties(${ARG_TEST} PROPERTIES LABELS "${ARG_LABEL}" TIMEOUT ${ARG_TIMEOUT})
endfunction()

add_library(lovagecross_warnings INTERFACE)
target_compile_options(lovagecross_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow=local -Werror)
