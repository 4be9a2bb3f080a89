# eb_add_test(NAME LINK library...)
#
# Builds one CUnit program from the C files of the current directory and
# registers it with CTest.
function(eb_add_test NAME)
    cmake_parse_arguments(EB "" "" "LINK" ${ARGN})
    file(GLOB EB_SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.c)
    add_executable(${NAME} ${EB_SOURCES})
    target_link_libraries(${NAME} PRIVATE ${EB_LINK} eb_test_support)
    target_compile_definitions(${NAME} PRIVATE
        EB_SOURCE_DIRECTORY="${CMAKE_SOURCE_DIR}")
    add_test(NAME ${NAME} COMMAND ${NAME})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
endfunction()
