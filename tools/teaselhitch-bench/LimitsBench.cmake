# Library of the overload and crash simulations of the guard. The program
# teaselhitch-bench and the tests of the Guard module use it. Any CMakeLists.txt
# can include this file.
include_guard(GLOBAL)

set(LimitsBenchSources
  "${CMAKE_CURRENT_LIST_DIR}/CrashBench.cpp"
  "${CMAKE_CURRENT_LIST_DIR}/LimitsBench.cpp")
add_library(teaselhitch_LimitsBench STATIC ${LimitsBenchSources})
add_library(teaselhitch::LimitsBench ALIAS teaselhitch_LimitsBench)
target_include_directories(teaselhitch_LimitsBench PUBLIC
  "${CMAKE_CURRENT_LIST_DIR}")
target_link_libraries(teaselhitch_LimitsBench
  PUBLIC teaselhitch::Guard
  PRIVATE teaselhitch_options)
teaselhitch_lint(teaselhitch_LimitsBench ${LimitsBenchSources})
