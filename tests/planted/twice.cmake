# Fault: forwards the line that answers an established request to the client twice.
set(PLANT_SOURCE src/router/attempt_handler.cpp)
set(PLANT_FROM [==[    context_.downstream.forward(id, line);
    const TimePoint now]==])
set(PLANT_TO [==[    context_.downstream.forward(id, line), context_.downstream.forward(id, line);
    const TimePoint now]==])
