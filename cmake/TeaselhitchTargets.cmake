# Functions that declare the project's targets. Each source file has a stamp
# file for the linter, so that the build reruns clang-tidy only on files whose
# inputs have changed.

set(TEASELHITCH_SANITIZE "" CACHE STRING "sanitizers: address (with undefined) or thread")

find_program(CLANG_TIDY clang-tidy)
add_custom_target(lint)

add_library(teaselhitch_options INTERFACE)
target_compile_options(teaselhitch_options INTERFACE
  -Wall -Wextra -Wpedantic -Wnon-virtual-dtor)
# Off by default: other compilers give other warnings, which must not fail a
# user's build.
option(TEASELHITCH_WERROR "treat compiler warnings as errors" OFF)
if(TEASELHITCH_WERROR)
  target_compile_options(teaselhitch_options INTERFACE -Werror)
endif()
target_compile_definitions(teaselhitch_options INTERFACE
  BOOST_ASIO_DISABLE_CO_AWAIT BOOST_ASIO_NO_DEPRECATED
  BOOST_LEAF_CFG_DIAGNOSTICS=0
  # All files must use the same mode, because toml++ defines the same functions
  # in both modes.
  TOML_EXCEPTIONS=0)
if(TEASELHITCH_SANITIZE STREQUAL "address")
  # With sanitizers, GCC 12 gives false -Wmaybe-uninitialized warnings for
  # members of Beast's parser and of LEAF's result.
  target_compile_options(teaselhitch_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all
    -Wno-maybe-uninitialized)
  target_link_options(teaselhitch_options INTERFACE
    -fsanitize=address,undefined)
elseif(TEASELHITCH_SANITIZE STREQUAL "thread")
  # GCC warns (-Wtsan) that its thread sanitizer does not model
  # std::atomic_thread_fence, which Boost.Lockfree uses.
  target_compile_options(teaselhitch_options INTERFACE
    -fsanitize=thread -Wno-tsan -Wno-maybe-uninitialized)
  target_link_options(teaselhitch_options INTERFACE -fsanitize=thread)
endif()

# Adds the target lint-<Target>, which runs clang-tidy on the given source files
# and has a stamp for each.
function(teaselhitch_lint Target)
  if(NOT CLANG_TIDY)
    return()
  endif()
  foreach(Source ${ARGN})
    get_filename_component(File "${Source}" ABSOLUTE)
    file(RELATIVE_PATH RelativePath "${CMAKE_SOURCE_DIR}" "${File}")
    set(Stamp "${CMAKE_BINARY_DIR}/lint/${RelativePath}.stamp")
    add_custom_command(OUTPUT "${Stamp}"
      COMMAND "${CMAKE_SOURCE_DIR}/scripts/lint-file" "${CLANG_TIDY}"
        "${CMAKE_CXX_COMPILER}" "${CMAKE_SOURCE_DIR}" "${CMAKE_BINARY_DIR}"
        "${File}" "${Stamp}"
      DEPENDS "${File}" "${CMAKE_SOURCE_DIR}/.clang-tidy"
      DEPFILE "${Stamp}.d"
      COMMENT "clang-tidy ${RelativePath}" VERBATIM)
    list(APPEND Stamps "${Stamp}")
  endforeach()
  add_custom_target(lint-${Target} DEPENDS ${Stamps})
  add_dependencies(lint lint-${Target})
endfunction()

# teaselhitch_library(Name SOURCES file... [DEPENDS module-or-target...]
#                     [PRIVATE_DEPENDS target...] [PLUGINS name...])
#
# PLUGINS lists the names that the sources pass to TEASELHITCH_PLUGIN. The
# link options reference the symbols that the macro defines. Without them the
# linker would drop a plug-in from the static library, because no symbol refers
# to it.
function(teaselhitch_library Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS;PLUGINS" ${ARGN})
  set(Target teaselhitch_${Name})
  add_library(${Target} STATIC ${Arg_SOURCES})
  add_library(teaselhitch::${Name} ALIAS ${Target})
  set_target_properties(${Target} PROPERTIES EXPORT_NAME ${Name})
  target_include_directories(${Target} PUBLIC
    "$<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/include>"
    "$<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>")
  target_link_libraries(${Target}
    PUBLIC ${Arg_DEPENDS}
    PRIVATE ${Arg_PRIVATE_DEPENDS} $<BUILD_INTERFACE:teaselhitch_options>)
  # The public headers need these settings in programs that embed the library.
  # LEAF's inline functions differ between values of the definition, so the
  # program must use the same value as the library.
  target_compile_features(${Target} PUBLIC cxx_std_20)
  target_compile_definitions(${Target} INTERFACE
    $<INSTALL_INTERFACE:BOOST_LEAF_CFG_DIAGNOSTICS=0>)
  foreach(Plugin ${Arg_PLUGINS})
    target_link_options(${Target} INTERFACE
      "LINKER:-u,teaselhitchPlugin${Plugin}")
  endforeach()
  set_property(GLOBAL APPEND PROPERTY TEASELHITCH_LIBRARIES ${Target})
  teaselhitch_lint(${Target} ${Arg_SOURCES})
endfunction()

# teaselhitch_program(Name SOURCES file... DEPENDS target...)
function(teaselhitch_program Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Name} ${Arg_SOURCES})
  target_link_libraries(${Name} PRIVATE ${Arg_DEPENDS} teaselhitch_options)
  teaselhitch_lint(${Name} ${Arg_SOURCES})
endfunction()

# teaselhitch_test(Module SOURCES file... DEPENDS target...)
# Adds one CppUnit program for a module; its test runner is
# unittests/TestMain.cpp.
function(teaselhitch_test Module)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  set(Target ${Module}Tests)
  add_executable(${Target} ${Arg_SOURCES})
  target_link_libraries(${Target} PRIVATE teaselhitch_testmain
    ${Arg_DEPENDS} teaselhitch_options)
  add_test(NAME ${Module} COMMAND ${Target})
  teaselhitch_lint(${Target} ${Arg_SOURCES})
endfunction()
