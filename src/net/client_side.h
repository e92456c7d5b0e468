// The connections of clients, from the accept to the last line.
#pragma once
#include <ev.h>

#include <memory>
#include <unordered_map>

#include "net/counters.h"
#include "net/log.h"
#include "net/ports.h"

namespace headrouter {

class ClientSide : public ClientPort, private LineConn::Owner {
   public:
    ClientSide(struct ev_loop*, Farewell&, int most_descriptors, Counters&, Log&);
    ~ClientSide() override;
    void report_to(ClientEvents& events) { events_ = &events; }
    bool listen(const Address&, std::string& fault);
    void stop_listening();
    void allow(int most_descriptors) { most_descriptors_ = most_descriptors; }

    void pass(CallId, std::string_view bytes) override;
    void serve(CallId) override;
    void answer(CallId, std::string_view line) override;
    void end(CallId, How) override;
    void hold_back(CallId, bool) override;
    size_t unsent(CallId) const override;
    void look_for_idle(Instant now);
    size_t size() const { return conns_.size(); }

   private:
    enum class Stage { greeting, waiting, served };
    struct Client {
        std::unique_ptr<LineConn> conn;
        Stage stage = Stage::greeting;
        Instant since;
    };

    void accept_some();
    void turn_away(Fd);
    void bytes_came(LineConn&, std::string_view, bool whole) override;
    void conn_ended(LineConn&, How) override;
    void output_went(LineConn&) override;
    void let_go(CallId);

    struct ev_loop* loop_;
    Farewell& farewell_;
    int most_descriptors_;
    Counters& counters_;
    Log& log_;
    ClientEvents* events_ = nullptr;
    Fd listener_, spare_;
    ev_io accept_{};
    std::unordered_map<CallId, Client> conns_;
    CallId last_id_ = 0;
};

}  // namespace headrouter
