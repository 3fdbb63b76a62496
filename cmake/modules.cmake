# marjoram_module(NAME SOURCES a.cpp ... LINKS lib ...): one static library per folder under src/.
function(marjoram_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_library(marjoram_${name} STATIC ${ARG_SOURCES})
    target_link_libraries(marjoram_${name} PUBLIC marjoram_options ${ARG_LINKS})
endfunction()

# marjoram_test(NAME SOURCES a.cpp ... LINKS lib ...): one doctest program per module.
function(marjoram_test name)
    cmake_parse_arguments(ARG "" "ENVIRONMENT" "SOURCES;LINKS;LABELS" ${ARGN})
    if(NOT BUILD_TESTING)
        return()
    endif()
    add_executable(${name}_tests ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/src/framework/testing/main.cpp)
    target_link_libraries(${name}_tests PRIVATE ${ARG_LINKS})
    add_test(NAME ${name} COMMAND ${name}_tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 LABELS "${ARG_LABELS}"
        ENVIRONMENT "${ARG_ENVIRONMENT}")
endfunction()
