# Functions that declare the project's targets. Every source file gets a lint
# stamp, so that ninja reruns clang-tidy only on files whose inputs changed.

set(TEASELHITCH_SANITIZE "" CACHE STRING "sanitizers: address (with undefined) or thread")

find_program(CLANG_TIDY clang-tidy)
add_custom_target(lint)

add_library(teaselhitch_options INTERFACE)
target_compile_options(teaselhitch_options INTERFACE
  -Wall -Wextra -Wpedantic -Wnon-virtual-dtor)
# Other compilers warn of other things; that must not fail a user's build.
option(TEASELHITCH_WERROR "treat compiler warnings as errors" OFF)
if(TEASELHITCH_WERROR)
  target_compile_options(teaselhitch_options INTERFACE -Werror)
endif()
target_compile_definitions(teaselhitch_options INTERFACE
  BOOST_ASIO_DISABLE_CO_AWAIT BOOST_ASIO_NO_DEPRECATED
  BOOST_LEAF_CFG_DIAGNOSTICS=0
  # One mode for all files: toml++ defines the same functions in both.
  TOML_EXCEPTIONS=0)
if(TEASELHITCH_SANITIZE STREQUAL "address")
  # With sanitizers, GCC 12 takes members of Beast's parser and of LEAF's result
  # for uninitialised.
  target_compile_options(teaselhitch_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all
    -Wno-maybe-uninitialized)
  target_link_options(teaselhitch_options INTERFACE
    -fsanitize=address,undefined)
elseif(TEASELHITCH_SANITIZE STREQUAL "thread")
  # std::atomic_thread_fence in Boost.Lockfree is not modelled by the
  # thread sanitizer of this compiler, which warns about it.
  target_compile_options(teaselhitch_options INTERFACE
    -fsanitize=thread -Wno-tsan -Wno-maybe-uninitialized)
  target_link_options(teaselhitch_options INTERFACE -fsanitize=thread)
endif()

# Adds a clang-tidy stamp for each source file of a target.
function(teaselhitch_lint Target)
  if(NOT CLANG_TIDY)
    return()
  endif()
  foreach(Source ${ARGN})
    get_filename_component(File "${Source}" ABSOLUTE)
    file(RELATIVE_PATH Name "${CMAKE_SOURCE_DIR}" "${File}")
    set(Stamp "${CMAKE_BINARY_DIR}/lint/${Name}.stamp")
    add_custom_command(OUTPUT "${Stamp}"
      COMMAND "${CMAKE_SOURCE_DIR}/scripts/lint-file" "${CLANG_TIDY}"
        "${CMAKE_CXX_COMPILER}" "${CMAKE_SOURCE_DIR}" "${CMAKE_BINARY_DIR}"
        "${File}" "${Stamp}"
      DEPENDS "${File}" "${CMAKE_SOURCE_DIR}/.clang-tidy"
      DEPFILE "${Stamp}.d"
      COMMENT "clang-tidy ${Name}" VERBATIM)
    list(APPEND Stamps "${Stamp}")
  endforeach()
  add_custom_target(lint-${Target} DEPENDS ${Stamps})
  add_dependencies(lint lint-${Target})
endfunction()

# teaselhitch_library(Name SOURCES file... [DEPENDS module-or-target...]
#                     [PRIVATE_DEPENDS target...] [PLUGINS name...])
#
# PLUGINS names the anchors of TEASELHITCH_PLUGIN in the sources. Without them
# the linker would drop a plug-in from the static library, because no symbol
# refers to it.
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
  # What the public headers need in programs that embed the library. Inline
  # functions of LEAF differ with another value of the definition.
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
# One CppUnit program for each module; the runner is unittests/TestMain.cpp.
function(teaselhitch_test Module)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  set(Target ${Module}Tests)
  add_executable(${Target} ${Arg_SOURCES})
  target_link_libraries(${Target} PRIVATE teaselhitch_testmain
    ${Arg_DEPENDS} teaselhitch_options)
  add_test(NAME ${Module} COMMAND ${Target})
  teaselhitch_lint(${Target} ${Arg_SOURCES})
endfunction()
