# Takes every cold server for one that it has a permit for.
set(PLANT_SOURCE src/slow_start/warmup_permits.cpp)
set(PLANT_FROM [==[    if (state_.next_permit_level > state_.issued_level) return false;]==])
set(PLANT_TO [==[    if (config.replica_count > 0) return true;]==])
