# Goes on sending to a server that drains.
set(PLANT_SOURCE src/net/roster.cpp)
set(PLANT_FROM [==[{"DRAINING", Condition::leaving}]==])
set(PLANT_TO [==[{"DRAINING", Condition::active}]==])
