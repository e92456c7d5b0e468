cmake_minimum_required(VERSION 3.22)

# headrouter_check_layers(ROOT LAYERS...): fails unless each folder of ROOT is one of LAYERS, which stand from the bottom
# up, and includes only itself and folders that stand before it.
#
# Also a script: cmake -DROOT=folder -DLAYERS="base;policy" -P CheckLayers.cmake
function(headrouter_check_layers root)
  set(layers ${ARGN})
  file(GLOB folders RELATIVE ${root} LIST_DIRECTORIES true ${root}/*)
  foreach(folder ${folders})
    if(IS_DIRECTORY ${root}/${folder} AND NOT folder IN_LIST layers)
      message(SEND_ERROR "${root}/${folder}: not among the layers ${layers}")
    endif()
  endforeach()
  set(permitted)
  foreach(layer ${layers})
    list(APPEND permitted ${layer})
    file(GLOB sources ${root}/${layer}/*.h ${root}/${layer}/*.cpp)
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${sources})
    foreach(source ${sources})
      headrouter_check_includes(${source} "${layers}" "${permitted}")
    endforeach()
  endforeach()
endfunction()

# Fails where `source` includes a file of one of `layers` that is not one of `permitted`.
function(headrouter_check_includes source layers permitted)
  file(STRINGS ${source} includes REGEX "^#include \"[a-z_]+/")
  foreach(include ${includes})
    string(REGEX REPLACE "^#include \"([a-z_]+)/.*" "\\1" included ${include})
    if(included IN_LIST layers AND NOT included IN_LIST permitted)
      message(SEND_ERROR "${source}: includes ${included}/, a layer above its own")
    endif()
  endforeach()
endfunction()

if(CMAKE_SCRIPT_MODE_FILE STREQUAL CMAKE_CURRENT_LIST_FILE)
  headrouter_check_layers(${ROOT} ${LAYERS})
endif()
