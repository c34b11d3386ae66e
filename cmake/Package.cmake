# lacewingsail_package(NAME UMBRELLA DEPENDS packages... LIBRARIES imported targets...)
#
# Declares one package of the workspace. Its sources are every .cpp file below src/UMBRELLA. A package sees
# only the headers of the packages it names, so a dependency that points the wrong way does not compile.
function(lacewingsail_package name umbrella)
  cmake_parse_arguments(PACKAGE "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/lacewingsail/src/${umbrella}/*.cpp)
  add_library(lacewingsail_${name} STATIC ${sources})
  add_library(lacewingsail::${name} ALIAS lacewingsail_${name})
  target_include_directories(lacewingsail_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
  foreach(dependency ${PACKAGE_DEPENDS})
    target_link_libraries(lacewingsail_${name} PUBLIC lacewingsail::${dependency})
  endforeach()
  target_link_libraries(lacewingsail_${name} PRIVATE lacewingsail_warnings ${PACKAGE_LIBRARIES})
endfunction()
