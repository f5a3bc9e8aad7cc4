# Library of the membership benchmark of the program teaselhitch-bench.
add_library(teaselhitch_membership_bench STATIC
  "${CMAKE_CURRENT_LIST_DIR}/MembershipBench.cpp"
  "${CMAKE_CURRENT_LIST_DIR}/MembershipBenchFleet.cpp"
  "${CMAKE_CURRENT_LIST_DIR}/MembershipBenchReport.cpp")
target_include_directories(teaselhitch_membership_bench
  PUBLIC "${CMAKE_CURRENT_LIST_DIR}")
target_link_libraries(teaselhitch_membership_bench
  PUBLIC teaselhitch::Membership
  PRIVATE teaselhitch::Wire Boost::json teaselhitch_options)
teaselhitch_lint(teaselhitch_membership_bench
  "${CMAKE_CURRENT_LIST_DIR}/MembershipBench.cpp"
  "${CMAKE_CURRENT_LIST_DIR}/MembershipBenchFleet.cpp"
  "${CMAKE_CURRENT_LIST_DIR}/MembershipBenchReport.cpp")
