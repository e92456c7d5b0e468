# cmake -DROOT=... -DPLANT=FILE -DINTO=FILE -P plant.cmake: writes the source that PLANT names with its one fault in it.
include(${PLANT})
file(READ ${ROOT}/${PLANT_SOURCE} text)
string(FIND "${text}" "${PLANT_FROM}" at)
if(at EQUAL -1)
  message(FATAL_ERROR "${PLANT}: its place in ${PLANT_SOURCE} is gone")
endif()
string(REPLACE "${PLANT_FROM}" "${PLANT_TO}" text "${text}")
file(WRITE ${INTO} "${text}")
