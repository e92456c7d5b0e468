# Fault: does not check whether the client has disconnected before the request is sent to a server.
set(PLANT_SOURCE src/router/attempt_handler.cpp)
set(PLANT_FROM [==[    context_.downstream.poll_now(id);
    const ActiveRequest* request]==])
set(PLANT_TO [==[    const ActiveRequest* request]==])
