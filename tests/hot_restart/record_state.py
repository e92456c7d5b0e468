#!/usr/bin/env python3
"""Records the state that a build hands over at a hot restart: record_state.py PROGRAM VERSION_NAME FILE

Starts PROGRAM with a configuration that uses all kinds of fields, brings connections to each of their stages, asks for
the state as a starting process would, writes its bytes to FILE and prints the number of descriptors received with it.
The script never confirms the takeover, so PROGRAM keeps serving until the script ends it.
"""
import array
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

LISTEN = "127.0.0.1:24080"
SERVERS = ["127.0.0.1:24082", "127.0.0.1:24081"]
END_OF_STATE = b"w"
STATE_PART = b"p"


def address(text):
    host, port = text.split(":")
    return host, int(port)


def configuration():
    # The first build of version 1 writes its tables in hash-table order; with these names that is the sorted order.
    instances = [
        {"instanceId": f"s{k}", "hostPort": SERVERS[k], "zone": "ab"[k], "lifecycle": "SERVING", "weight": 1 + k}
        for k in (1, 0)
    ]
    return {
        "name": "n", "listen": LISTEN, "ops": "127.0.0.1:24090", "discovery": "127.0.0.1:24085", "seed": "1f",
        "limits": {"sockets": 400},
        "known": {"generation": 1, "reset": True, "instances": instances},
        "settings": {
            "discovery": "push", "failureDomains": ["a", "b"], "realms": [{"name": "gold"}, {"name": "silver"}],
            "groupSize": 3, "slotNo": 1, "charges": {"crossZone": 0.25}, "stepNs": 2_000_000,
            "domain": {"tellsDelay": True, "messageAimNs": [50_000_000, 0], "groups": True,
                       "parkNs": 30_000_000_000, "tenantQuotaConnections": [100, 50]},
            "ceilings": {"maxLegs": 3, "dialTimeoutNs": 150_000_000, "retryAfter": True,
                         "maxRetryAfterNs": 2_000_000_000},
            "invariants": {"coldNs": 1_000_000_000, "fallMultiple": 4, "fallNs": 2_000_000_000,
                           "coldShare": 0.5, "drainGraceNs": 60_000_000_000, "askEveryNs": 4_000_000_000},
            "trafficTypes": [
                {"name": "chat", "effect": "pure", "setupTargetNs": 800_000_000, "guardTimeNs": 3_000_000_000},
                {"name": "pay", "effect": "token", "keyScope": "zone", "setupTargetNs": 800_000_000,
                 "guardTimeNs": 3_000_000_000, "windowNs": 5_000_000_000},
            ],
        },
    }


class Servers:
    """Listens at each server's address and keeps the accepted connections."""

    def __init__(self):
        self.listeners = []
        for at in SERVERS:
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address(at))
            listener.listen(16)
            listener.setblocking(False)
            self.listeners.append(listener)

    def take(self):
        """Returns the next connection after reading its request line."""
        for _ in range(500):
            for listener in self.listeners:
                try:
                    connection, _ = listener.accept()
                except BlockingIOError:
                    continue
                connection.settimeout(2)
                connection.recv(4096)
                return connection
            time.sleep(0.005)
        raise RuntimeError("no attempt came")


def client(line):
    connection = socket.create_connection(address(LISTEN))
    connection.sendall(line.encode())
    return connection


def request_line(number, fields):
    return f"OPEN {number:016x} key{number} c=chat,d=2900,{fields}\r\n"


def hand_over(folder, version):
    """Returns the state's bytes and the number of descriptors, as the starting process receives them."""
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel.connect(f"{folder}/headrouter-{LISTEN}.sock")
    channel.sendall(f"headrouter 1 {version}".encode())
    state, descriptors = b"", 0
    while True:
        size = socket.CMSG_SPACE(128 * 4)
        data, control, _, _ = channel.recvmsg(65536, size)
        for _, _, payload in control:
            numbers = array.array("i")
            numbers.frombytes(payload)
            descriptors += len(numbers)
            for number in numbers:
                os.close(number)
        if data[:1] == STATE_PART:
            state += data[1:]
        if data[:1] == END_OF_STATE:
            return state, descriptors - 1  # the listener is not counted
        if not data:
            raise RuntimeError("the process hands nothing over")


def main():
    program, version, path = sys.argv[1:]
    servers = Servers()
    with tempfile.TemporaryDirectory() as folder:
        config = f"{folder}/config.json"
        with open(config, "w", encoding="utf-8") as file:
            json.dump(configuration(), file)
        child = subprocess.Popen([program, "serve", "--config", config, "--log", "warning"],
                                 env={**os.environ, "TMPDIR": folder})
        try:
            time.sleep(1)
            kept = []
            for number in range(1, 5):  # established, with load and latency reports
                kept.append(client(request_line(number, f"t=gold,g=group{number % 2}")))
                server = servers.take()
                server.sendall(b"UP r\r\n")
                kept.append(server)
                server.sendall(b"LOAD 5000\r\n")
            time.sleep(0.1)
            for server in kept[1:5:2]:  # two reports at the same time: classified as latencies
                server.sendall(b"LOAD 60\r\n")
            time.sleep(0.05)
            kept[5].sendall(b"LOAD 70\r\n")  # undecided: a latency or a load report
            kept[0].sendall(b"a word without an answer\r\n")
            kept[2].sendall(b"half a wo")
            kept.append(client(request_line(5, "t=silver,g=alone,again=1,h=4000")))  # its server does not answer
            kept.append(servers.take())
            with client(request_line(6, "t=gold,g=left").replace("c=chat", "c=pay")):  # must not run again
                kept_server = servers.take()
                time.sleep(0.05)
            kept_server.close()
            kept.append(client("OPEN 00000000000000"))  # has not sent its whole request line yet
            time.sleep(0.05)
            state, descriptors = hand_over(folder, version)
        finally:
            child.send_signal(signal.SIGKILL)
            child.wait()
    with open(path, "wb") as file:
        file.write(state)
    print(f"{len(state)} bytes, {descriptors} descriptors")


if __name__ == "__main__":
    main()
