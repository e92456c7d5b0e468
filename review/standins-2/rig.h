/// Stand-ins for the platform of a balancer: servers, discovery, clients, and the start of the balancer
/// itself. All addresses are on loopback; all ports are free ones. Times are seconds since the start.
#pragma once
#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

/// Seconds since the first call.
double now();
void sleep_until(double at);
int64_t unix_ms();

/// Writes record.txt and the end of the run.
class Record {
   public:
    explicit Record(const std::string& path) : out_(path) {}
    void add(const std::string& line);

   private:
    std::mutex mutex_;
    std::ofstream out_;
};

Record& record();
void open_record(const std::string& path);

/// A blocking socket that reads lines and can be read until a point in time.
class Stream {
   public:
    explicit Stream(int fd) : fd_(fd) {}
    ~Stream();
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    enum class Got { line, end, reset, late };
    /// Reads one line without its end. `first_byte` gets the time of its first byte.
    Got read_line(std::string& line, double until, double* first_byte = nullptr);
    /// Waits for the end of the other side; reads and drops what comes.
    Got wait_for_end(double until);
    bool write(const std::string& bytes) const;
    void reset();
    void close();

   private:
    Got fill(double until);

    int fd_;
    std::string input_;
};

/// Listens on a free port of a loopback address of this run and gives each connection a thread.
class Listener {
   public:
    using Handler = std::function<void(Stream&, int number)>;
    explicit Listener(Handler handler);
    const std::string& address() const { return address_; }
    /// New connections are refused from now on, until `listen_again`.
    void stop_listening();
    void listen_again();

   private:
    void listen_at(int fd);

    Handler handler_;
    std::string address_;
    int fd_ = -1;
    std::atomic<int> accepted_ = 0;
};

std::string free_address();
int connect_to(const std::string& address, double until);

/// The list of servers, as discovery has it.
class Roster {
   public:
    struct Entry {
        std::string id, address, zone, lifecycle = "SERVING";
        int cell = 0;
        int64_t started_at_ms = 0;
        int64_t changed_in = 1;
    };

    void add(Entry entry);
    void set_lifecycle(const std::string& id, const std::string& lifecycle);
    /// Changes an entry as a whole.
    void replace(const Entry& entry);
    /// The changes since a version (waits for some until `until`), or the whole list for a negative one.
    std::string answer(int64_t since, double until);
    std::string whole_list() { return answer(-1, 0); }

   private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Entry> entries_;
    int64_t version_ = 41;
};

/// Discovery at one address.
class Discovery {
   public:
    explicit Discovery(Roster& roster);
    const std::string& address() const { return listener_->address(); }

    /// How long a call waits in the queue before it is looked at.
    std::atomic<double> queue_time = 0;
    /// Connections with a number from this one on are turned away with status 503.
    std::atomic<int> first_turned_away = 1 << 30;
    /// Accepts and reads, and says nothing.
    std::atomic<bool> is_silent = false;

    /// Turns new callers away from now on; who holds a connection keeps it.
    void turn_new_callers_away() { first_turned_away = accepted_ + 1; }
    void serve_all() { first_turned_away = 1 << 30; }
    /// Takes no new connection, and closes the open ones at `at`.
    void retire(double at);
    /// Resets the open connections.
    void break_connections() { broken_through_ = accepted_.load(); }
    /// Resets all connections and refuses new ones until it comes back.
    void go_down();
    void come_back();

   private:
    void serve(Stream& stream, int number);

    Roster& roster_;
    std::atomic<int> accepted_ = 0, broken_through_ = 0;
    std::atomic<double> closes_at_ = 1e18;
    std::unique_ptr<Listener> listener_;
};

/// What a server does with a new request.
enum class Manner { serve, turn_away };

/// A request line that reached a server.
struct Arrival {
    std::string server = {}, wire_id = {};
    double first_byte = 0;
    bool ran = false;
};

/// A server that answers `UP` and sends each line back.
class Server {
   public:
    Server(std::string id, std::function<void(const Arrival&)> on_arrival);
    const std::string& id() const { return id_; }
    const std::string& address() const { return listener_->address(); }
    std::atomic<Manner> manner = Manner::serve;

   private:
    void serve(Stream& stream);

    std::string id_;
    std::function<void(const Arrival&)> on_arrival_;
    std::unique_ptr<Listener> listener_;
};

/// A balancer that runs as the deploy file says, in a process of its own.
class Balancer {
   public:
    struct Settings {
        std::string settings;  ///< JSON
        std::string known;     ///< JSON
        std::string discovery;
    };
    Balancer(std::string name, std::string folder, std::string run);
    void write_configuration(const Settings& settings) const;
    void start(const Settings& settings);
    bool wait_until_ready(double until) const;
    void signal(int number) const;
    /// Waits for its end; kills it at `until`. Returns whether it ended by itself.
    bool wait_for_end(double until);
    bool is_running();
    const std::string& address() const { return address_; }
    const std::string& name() const { return name_; }

   private:
    std::string configuration_path() const { return folder_ + "/" + name_ + ".json"; }

    std::string name_, folder_, run_, address_;
    std::atomic<pid_t> pid_ = -1;
    int starts_ = 0;
};

/// Kills every balancer that still runs.
void end_balancers();

/// One client: connects, sends OPEN, and holds the connection for a while if it comes up.
struct ClientPlan {
    std::string balancer = {}, wire_id = {}, request_class = {}, tenant = {};
    int wait_ms = 2000;
    double holds_for = 3;
};

/// What a client saw.
struct ClientResult {
    std::string wire_id = {};
    std::string answer = {};  ///< first line, or "" if none came
    bool refused = false;
};

ClientResult run_client(const ClientPlan& plan);
std::string random_hex(int digits);

/// Sends clients at a steady rate to the balancers that `targets` returns, in turn.
class Traffic {
   public:
    Traffic(double per_second, std::function<std::vector<std::string>()> targets,
            std::function<ClientPlan()> plan);
    ~Traffic();
    void stop();
    std::map<std::string, int> answers();

   private:
    void run();

    double per_second_;
    std::function<std::vector<std::string>()> targets_;
    std::function<ClientPlan()> plan_;
    std::atomic<bool> stops_ = false;
    std::mutex mutex_;
    std::map<std::string, int> answers_;
    std::vector<std::thread> clients_;
    std::thread thread_;
};

}  // namespace rig
