# eb_add_package(NAME LINK library...)
#
# Builds the library ebonyhollow_NAME from the C files of the current
# directory. Its headers are visible only to targets that link it, so a
# package that includes a header of a package missing from its LINK list does
# not compile.
function(eb_add_package NAME)
    cmake_parse_arguments(EB "" "" "LINK" ${ARGN})
    file(GLOB EB_SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.c)
    add_library(ebonyhollow_${NAME} STATIC ${EB_SOURCES})
    target_include_directories(ebonyhollow_${NAME}
        PUBLIC ${CMAKE_SOURCE_DIR}/include/${NAME}
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/private)
    target_link_libraries(ebonyhollow_${NAME} PUBLIC ${EB_LINK})
endfunction()
