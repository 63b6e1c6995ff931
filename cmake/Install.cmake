# Installs the programs, and the coordination components as the CMake package `lovagecross`, without the adapters and the daemon:
#   find_package(lovagecross REQUIRED)
#   target_link_libraries(mine PRIVATE lovagecross::lease lovagecross::journal)
set(embeddable_components base ports lease journal program budget admission placement retry membership)
foreach(component ${embeddable_components})
  set_target_properties(lovagecross_${component} PROPERTIES EXPORT_NAME ${component})
  install(TARGETS lovagecross_${component} EXPORT lovagecrossTargets ARCHIVE DESTINATION lib COMPONENT library)
  install(DIRECTORY ${CMAKE_SOURCE_DIR}/lovagecross/${component} DESTINATION include/lovagecross COMPONENT library
          FILES_MATCHING PATTERN "*.h" PATTERN "*.pb.h" EXCLUDE)
endforeach()
install(EXPORT lovagecrossTargets NAMESPACE lovagecross:: DESTINATION lib/cmake/lovagecross COMPONENT library)
install(FILES ${CMAKE_SOURCE_DIR}/cmake/lovagecrossConfig.cmake DESTINATION lib/cmake/lovagecross COMPONENT library)
install(TARGETS lovagecrossd lovagectl RUNTIME DESTINATION bin COMPONENT programs)

# The package is installed, found and used by a project of its own.
add_test(NAME contract.embedding
         COMMAND ${CMAKE_SOURCE_DIR}/examples/embedding/check ${CMAKE_BINARY_DIR} ${CMAKE_SOURCE_DIR})
set_tests_properties(contract.embedding PROPERTIES LABELS contract TIMEOUT 180)
