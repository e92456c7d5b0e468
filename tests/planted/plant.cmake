# cmake -DROOT=... -DPLANT=FILE -DINTO=FILE -P plant.cmake: writes the source file that PLANT names,
# with the fault planted in it, to INTO.
include(${PLANT})
file(READ ${ROOT}/${PLANT_SOURCE} text)
string(FIND "${text}" "${PLANT_FROM}" at)
if(at EQUAL -1)
  message(FATAL_ERROR "${PLANT}: ${PLANT_SOURCE} does not contain the text of PLANT_FROM")
endif()
string(REPLACE "${PLANT_FROM}" "${PLANT_TO}" text "${text}")
file(WRITE ${INTO} "${text}")
