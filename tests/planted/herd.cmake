# Fault: sends each request to the server with the lowest published load.
set(PLANT_SOURCE src/policy/placement.cpp)
set(PLANT_FROM [==[    for (int tries = 0; tries < random_tries; ++tries) {]==])
set(PLANT_TO [==[    std::optional<ServerIndex> least_loaded;
    if (context.gossip_trust > 0)
        for (const ServerIndex server : servers_.indexes()) {
            const bool is_less =
                !least_loaded || servers_[server].fleet_load < servers_[*least_loaded].fleet_load;
            if (is_open(context, server) && is_less) least_loaded = server;
        }
    if (least_loaded) return least_loaded;
    for (int tries = 0; tries < random_tries; ++tries) {]==])
