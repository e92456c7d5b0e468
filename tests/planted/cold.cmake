# Fault: always grants a permit for a cold server.
set(PLANT_SOURCE src/slow_start/warmup_permits.cpp)
set(PLANT_FROM [==[    if (state_.next_permit_level > state_.issued_level) return false;]==])
set(PLANT_TO [==[    if (config.replica_count > 0) return true;]==])
