// Real processes of the program, with the test as their clients, servers and discovery.
#pragma once
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>  // its streams must be there before the cases run

#include "app/command_line.h"
#include "proxy/socket_peers.h"

struct Site : Loop {
    Listener server, agent;
    std::string listen = free_place(), folder = temporary_folder();
    std::string meeting = folder + "/headrouter-" + listen + ".sock";
    std::string peers, allowed;     // of the configuration, where messages are permitted
    std::pair<pid_t, int> cleaner;  // its process, and what tells it that this one is there
    std::vector<pid_t> children;
    std::vector<Peer> watches;  // that wait for news
    uint64_t last_id = 1'000'000'000'000'000;
    std::string executable;  // where empty, a copy of this process serves
    std::vector<std::pair<std::string, std::string>> environment;

    Site() : cleaner(clear_at_the_end(folder)) {}
    Site(const Site&) = delete;
    Site& operator=(const Site&) = delete;
    ~Site() {
        for (const pid_t child : children) kill(child, SIGKILL), waitpid(child, nullptr, 0);
        close(cleaner.second), waitpid(cleaner.first, nullptr, 0);
    }
    static std::string temporary_folder() {
        std::string name = std::filesystem::temp_directory_path() / "headrouter_test_XXXXXX";
        EXPECT_TRUE(mkdtemp(name.data()));
        return name;
    }
    // By a process that sees this one end, so that a test that fails leaves nothing behind either.
    static std::pair<pid_t, int> clear_at_the_end(const std::string& folder) {
        int ends[2];
        EXPECT_EQ(pipe2(ends, O_CLOEXEC), 0);
        const pid_t child = fork();
        if (child == 0) {
            setpgid(0, 0);  // whatever ends the test
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
    std::string config() const { return folder + "/config.json"; }
    void write_config(const std::string& ops, const std::string& settings_end = "}]}}") const {
        std::ofstream(config()) << "{" << peers << R"("listen":")" << listen << R"(","ops":")" << ops
                                << R"(","discovery":")" << agent.at
                                << R"(","seed":"1f","limits":{"sockets":400},"known":{"generation":1,
            "reset":true,"instances":[{"instanceId":"s","hostPort":")"
                                << server.at << R"(","zone":"a","lifecycle":"SERVING"}]},
            "settings":{"discovery":"push","failureDomains":["a"],"ceilings":{)"
                                << allowed << R"("maxLegs":2,"dialTimeoutNs":150000000},"groupSize":2,
            "invariants":{"coldNs":0},"trafficTypes":[{"name":"chat","effect":"pure","setupTargetNs":800000000,
            "guardTimeNs":1000000000)"
                                << settings_end;
    }
    // A program and the address where it can be asked.
    struct Program {
        pid_t pid = -1;
        std::string ops;
    };
    Program launch(const char* tmpdir = nullptr) {
        std::string ops = free_place();
        write_config(ops);
        return {spawn(tmpdir ? tmpdir : folder.c_str()), std::move(ops)};
    }
    pid_t spawn(const char* tmpdir) {
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that fails leaves nobody behind
            close(cleaner.second);
            setenv("PROXY_CONFIG", config().c_str(), 1);
            tmpdir&&* tmpdir ? setenv("TMPDIR", tmpdir, 1) : unsetenv("TMPDIR");
            for (const auto& [variable, value] : environment) setenv(variable.c_str(), value.c_str(), 1);
            if (!executable.empty()) execl(executable.c_str(), "headrouter", "serve", "--log=error", nullptr);
            std::string serve = "serve", level = "--log=error", name = "headrouter";
            char* args[] = {name.data(), serve.data(), level.data(), nullptr};
            _exit(command_line(3, args));
        }
        children.push_back(child);
        return child;
    }
    std::string ask(const Program& program, const std::string& request) {
        Peer p = dial(program.ops);
        p.write(request + "\r\n");
        until([&] { return p.read(), p.ended || p.broke; });
        return p.got;
    }
    Program start(const char* tmpdir = nullptr) {
        Program program = launch(tmpdir);
        EXPECT_TRUE(until([&] { return ask(program, "STATUS") == "done\r\n"; }));
        return program;
    }
    bool exits(pid_t child, int& status) {
        return until([&] { return waitpid(child, &status, WNOHANG) == child; });
    }
    void leaves(pid_t child) {
        int status = -1;
        kill(child, SIGTERM);
        EXPECT_TRUE(exits(child, status));
        EXPECT_TRUE(WIFEXITED(status));
        EXPECT_EQ(WEXITSTATUS(status), 0);
    }
    bool says(Peer& p, const std::string& text) {
        return until([&] { return p.read(), p.got.find(text) != std::string::npos; });
    }
    Peer client() {
        Peer p = dial(listen);
        p.write("OPEN " + std::to_string(++last_id) + " 2b c=chat,d=900\r\n");
        return p;
    }
    Peer taken() {
        Peer p;
        EXPECT_TRUE(until([&] { return (p = server.accept(), bool(p.fd)); }));
        EXPECT_TRUE(says(p, " 2b c=chat,d="));
        return p;
    }
    std::pair<Peer, Peer> standing() {
        Peer c = client(), s = taken();
        s.write("UP r\r\n");
        EXPECT_TRUE(says(c, "UP r\r\n"));
        return {std::move(c), std::move(s)};
    }
    void carries(std::pair<Peer, Peer>& pair, const std::string& line) {
        pair.first.write(line), pair.second.write("re: " + line);
        EXPECT_TRUE(says(pair.second, line));
        EXPECT_TRUE(says(pair.first, "re: " + line));
    }
    // One that speaks the starting process's part by hand.
    Peer caller(const std::string& layout) {
        Peer p{FileDescriptor(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0)), {}};
        sockaddr_un a{};
        a.sun_family = AF_UNIX;
        std::copy(meeting.begin(), meeting.end(), a.sun_path);
        EXPECT_EQ(connect(p.fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a), 0);
        p.write("headrouter 1 " + layout);
        return p;
    }
    // And one that speaks the running process's part: where the next one asks, and what it gets first.
    FileDescriptor door() {
        unlink(meeting.c_str());
        sockaddr_un a{};
        a.sun_family = AF_UNIX;
        std::copy(meeting.begin(), meeting.end(), a.sun_path);
        FileDescriptor fd(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        EXPECT_EQ(bind(fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a), 0);
        EXPECT_EQ(::listen(fd.get(), 1), 0);
        return fd;
    }
    Peer heir_at(const FileDescriptor& door) {
        Peer heir;
        EXPECT_TRUE(until([&] {
            heir.fd = FileDescriptor(accept4(door.get(), nullptr, nullptr, SOCK_CLOEXEC));
            return bool(heir.fd);
        }));
        const FileDescriptor listener = listen_on(*Address::from(listen), PortSharing::shared);
        char control[CMSG_SPACE(sizeof(int))] = {}, word = 'd';
        iovec part{&word, 1};
        msghdr message{};
        message.msg_iov = &part, message.msg_iovlen = 1;
        message.msg_control = control, message.msg_controllen = sizeof control;
        cmsghdr* c = CMSG_FIRSTHDR(&message);
        c->cmsg_level = SOL_SOCKET, c->cmsg_type = SCM_RIGHTS, c->cmsg_len = CMSG_LEN(sizeof(int));
        const int fd = listener.get();
        std::copy_n(reinterpret_cast<const char*>(&fd), sizeof fd, CMSG_DATA(c));
        EXPECT_EQ(sendmsg(heir.fd.get(), &message, 0), 1);
        return heir;
    }
};
