# Fault: keeps sending new requests to a draining server.
set(PLANT_SOURCE src/discovery/endpoint_update.cpp)
set(PLANT_FROM [==[{"DRAINING", EndpointState::draining}]==])
set(PLANT_TO [==[{"DRAINING", EndpointState::active}]==])
