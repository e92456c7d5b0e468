# Does not look whether the client has gone before it sends on.
set(PLANT_SOURCE src/router/request_router.cpp)
set(PLANT_FROM [==[    downstream_.poll_now(id);
    const ActiveRequest* request]==])
set(PLANT_TO [==[    const ActiveRequest* request]==])
