# Answers a request that came up twice.
set(PLANT_SOURCE src/router/request_router.cpp)
set(PLANT_FROM [==[    downstream_.forward(id, line);
    const TimePoint now]==])
set(PLANT_TO [==[    downstream_.forward(id, line), downstream_.forward(id, line);
    const TimePoint now]==])
