# Installs the program, the libraries with their headers, and a CMake package
# (find_package(teaselhitch)) for programs that embed the library.
include(CMakePackageConfigHelpers)

get_property(Libraries GLOBAL PROPERTY TEASELHITCH_LIBRARIES)
install(TARGETS ${Libraries} EXPORT teaselhitchTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(TARGETS teaselhitch RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(DIRECTORY include/teaselhitch
  DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} FILES_MATCHING PATTERN "*.h")
set(PackageDir ${CMAKE_INSTALL_LIBDIR}/cmake/teaselhitch)
install(EXPORT teaselhitchTargets NAMESPACE teaselhitch::
  DESTINATION ${PackageDir})
configure_package_config_file(cmake/teaselhitchConfig.cmake.in
  "${CMAKE_BINARY_DIR}/teaselhitchConfig.cmake"
  INSTALL_DESTINATION ${PackageDir})
write_basic_package_version_file(
  "${CMAKE_BINARY_DIR}/teaselhitchConfigVersion.cmake"
  COMPATIBILITY SameMinorVersion)
install(FILES "${CMAKE_BINARY_DIR}/teaselhitchConfig.cmake"
  "${CMAKE_BINARY_DIR}/teaselhitchConfigVersion.cmake"
  DESTINATION ${PackageDir})
