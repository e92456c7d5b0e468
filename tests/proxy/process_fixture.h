/// Runs real headrouter processes; the test plays their clients, servers and discovery service.
#pragma once
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>  // its streams must be initialized before the cases run

#include "app/command_line.h"
#include "proxy/socket_peers.h"

struct ProcessFixture : EventLoopFixture {
    /// A process and its admin address.
    struct Program {
        pid_t pid = -1;
        std::string admin_address;
    };

    Listener server_listener;
    Listener discovery_listener;
    std::string listen_address = unused_address();
    std::string folder = temporary_folder();
    std::string hot_restart_socket = folder + "/headrouter-" + listen_address + ".sock";
    std::string gossip_json;          ///< fields of the configuration for gossip; empty: no gossip
    std::string gossip_allowed_json;  ///< fields of the settings that allow gossip
    int memory_mb = 0;                ///< memory limit in the configuration; zero: none
    std::string effect = "pure";      ///< of the only request class
    std::string drain_grace_json;     ///< field of the invariants, with its comma; empty: none is stated
    std::pair<pid_t, int> cleaner;    ///< process id, and the pipe that stays open while this process runs
    std::vector<pid_t> children;
    uint64_t last_id = 1'000'000'000'000'000;
    std::string executable;  ///< path of the program; empty: a fork of the test process serves
    std::vector<std::pair<std::string, std::string>> environment;

    ProcessFixture() : cleaner(start_cleaner(folder)) {}
    ProcessFixture(const ProcessFixture&) = delete;
    ProcessFixture& operator=(const ProcessFixture&) = delete;
    ~ProcessFixture() {
        for (const pid_t child : children) kill_and_wait(child);
        close(cleaner.second);
        waitpid(cleaner.first, nullptr, 0);
    }
    static void kill_and_wait(pid_t child) {
        kill(child, SIGKILL);
        waitpid(child, nullptr, 0);
    }
    static std::string temporary_folder() {
        std::string name = std::filesystem::temp_directory_path() / "headrouter_test_XXXXXX";
        EXPECT_TRUE(mkdtemp(name.data()));
        return name;
    }
    /// Starts a process that removes the folder when this process ends, so that a failed test leaves no
    /// files.
    static std::pair<pid_t, int> start_cleaner(const std::string& folder) {
        int ends[2];
        EXPECT_EQ(pipe2(ends, O_CLOEXEC), 0);
        const pid_t child = fork();
        if (child == 0) {
            setpgid(0, 0);  // so that a signal to the group of the test does not end the cleaner
            close(ends[1]);
            char byte = 0;
            while (read(ends[0], &byte, 1) > 0 || errno == EINTR) errno = 0;
            std::error_code ignored;
            std::filesystem::remove_all(folder, ignored);
            _exit(0);
        }
        close(ends[0]);
        return {child, ends[1]};
    }
    std::string config_path() const { return folder + "/config.json"; }
    void write_config(const std::string& admin_address, const std::string& settings_end = "}]}}") const {
        std::ofstream(config_path()) << "{" << gossip_json << R"("listen":")" << listen_address
                                     << R"(","ops":")" << admin_address << R"(","discovery":")"
                                     << discovery_listener.address
                                     << R"(","seed":"1f","limits":{"sockets":400,"memory_mb":)" << memory_mb
                                     << R"(},"known":{"generation":1,
            "reset":true,"instances":[{"instanceId":"s","hostPort":")"
                                     << server_listener.address << R"(","zone":"a","lifecycle":"SERVING"}]},
            "settings":{"discovery":"push","failureDomains":["a"],"ceilings":{)"
                                     << gossip_allowed_json
                                     << R"("maxLegs":2,"dialTimeoutNs":150000000},"groupSize":2,
            "invariants":{)" << drain_grace_json
                                     << R"("coldNs":0},"trafficTypes":[{"name":"chat","effect":")" << effect
                                     << R"(",
            "setupTargetNs":800000000,"guardTimeNs":1000000000)"
                                     << settings_end;
    }
    /// Starts a process with the hot-restart folder `tmpdir`, or the fixture's folder if that is null.
    Program launch(const char* tmpdir = nullptr) {
        std::string admin_address = unused_address();
        write_config(admin_address);
        return {spawn(tmpdir ? tmpdir : folder.c_str()), std::move(admin_address)};
    }
    pid_t spawn(const char* tmpdir) {
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // a failed test leaves no process behind
            close(cleaner.second);
            setenv("PROXY_CONFIG", config_path().c_str(), 1);
            if (tmpdir && *tmpdir)
                setenv("TMPDIR", tmpdir, 1);
            else
                unsetenv("TMPDIR");
            for (const auto& [variable, value] : environment) setenv(variable.c_str(), value.c_str(), 1);
            if (!executable.empty()) execl(executable.c_str(), "headrouter", "serve", "--log=error", nullptr);
            std::string serve = "serve", level = "--log=error", name = "headrouter";
            char* args[] = {name.data(), serve.data(), level.data(), nullptr};
            _exit(command_line(3, args));
        }
        children.push_back(child);
        return child;
    }
    /// Returns the reply of a process to an admin command; "" if there is none.
    std::string admin_reply(const Program& program, const std::string& command) {
        Peer admin = connect_peer(program.admin_address);
        admin.write(command + "\r\n");
        sees_close(admin);
        return admin.received;
    }
    bool is_serving(const Program& program) { return admin_reply(program, "STATUS") == "done\r\n"; }
    /// Starts a process and waits until it serves.
    Program start(const char* tmpdir = nullptr) {
        Program program = launch(tmpdir);
        EXPECT_TRUE(run_until([&] { return is_serving(program); }));
        return program;
    }
    /// Returns whether a process exits within two seconds; stores its wait status.
    bool exits(pid_t child, int& status) {
        return run_until([&] { return waitpid(child, &status, WNOHANG) == child; });
    }
    /// Sends SIGTERM to a process and expects that it exits with status 0.
    void shut_down(pid_t child) {
        int status = -1;
        kill(child, SIGTERM);
        EXPECT_TRUE(exits(child, status));
        EXPECT_TRUE(WIFEXITED(status));
        EXPECT_EQ(WEXITSTATUS(status), 0);
    }
    /// Returns a client that has sent its request.
    Peer connect_client() {
        Peer client = connect_peer(listen_address);
        client.write("OPEN " + std::to_string(++last_id) + " 2b c=chat,d=900\r\n");
        return client;
    }
    /// Accepts a process's connection to the server for an attempt and reads the request.
    Peer accept_attempt() {
        Peer server = accept(server_listener);
        EXPECT_TRUE(receives(server, " 2b c=chat,d="));
        return server;
    }
    /// Returns a request that the server has accepted.
    EstablishedRequest establish() {
        Peer client = connect_client();
        Peer server = accept_attempt();
        server.write("UP r\r\n");
        EXPECT_TRUE(receives(client, "UP r\r\n"));
        return {std::move(client), std::move(server)};
    }
    /// Sends a line in each direction and expects that it arrives.
    void exchange_lines(EstablishedRequest& request, const std::string& line) {
        request.client.write(line);
        request.server.write("re: " + line);
        EXPECT_TRUE(receives(request.server, line));
        EXPECT_TRUE(receives(request.client, "re: " + line));
    }

    sockaddr_un hot_restart_address() const {
        sockaddr_un address{};
        address.sun_family = AF_UNIX;
        std::copy(hot_restart_socket.begin(), hot_restart_socket.end(), address.sun_path);
        return address;
    }
    /// Plays the starting process of a hot restart, whose state version is `state_name`.
    Peer connect_as_child(const std::string& state_name) const {
        Peer child{FileDescriptor(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0)), {}};
        const sockaddr_un address = hot_restart_address();
        EXPECT_EQ(connect(child.fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
        child.write("headrouter 1 " + state_name);
        return child;
    }
    /// Plays the running process of a hot restart: returns the socket to which the next process connects.
    FileDescriptor listen_as_parent() const {
        unlink(hot_restart_socket.c_str());
        const sockaddr_un address = hot_restart_address();
        FileDescriptor fd(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        EXPECT_EQ(bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
        EXPECT_EQ(::listen(fd.get(), 1), 0);
        return fd;
    }
    /// Accepts the starting process and sends it a listener.
    Peer accept_child(const FileDescriptor& parent) {
        Peer child;
        EXPECT_TRUE(run_until([&] {
            child.fd = FileDescriptor(accept4(parent.get(), nullptr, nullptr, SOCK_CLOEXEC));
            return bool(child.fd);
        }));
        const FileDescriptor listener = listen_on(*Address::from(listen_address), PortSharing::shared);
        char control[CMSG_SPACE(sizeof(int))] = {};
        char word = 'd';
        iovec part{&word, 1};
        msghdr message{};
        message.msg_iov = &part;
        message.msg_iovlen = 1;
        message.msg_control = control;
        message.msg_controllen = sizeof control;
        cmsghdr* header = CMSG_FIRSTHDR(&message);
        header->cmsg_level = SOL_SOCKET;
        header->cmsg_type = SCM_RIGHTS;
        header->cmsg_len = CMSG_LEN(sizeof(int));
        const int fd = listener.get();
        std::copy_n(reinterpret_cast<const char*>(&fd), sizeof fd, CMSG_DATA(header));
        EXPECT_EQ(sendmsg(child.fd.get(), &message, 0), 1);
        return child;
    }
};
