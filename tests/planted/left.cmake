# Does not look whether the client has gone before it sends on.
set(PLANT_SOURCE src/router/attempt_handler.cpp)
set(PLANT_FROM [==[    context_.downstream.poll_now(id);
    const ActiveRequest* request]==])
set(PLANT_TO [==[    const ActiveRequest* request]==])
