#include "testbed/address_block.h"

#include <sys/resource.h>
#include <unistd.h>

#include <stdexcept>
#include <system_error>

namespace headrouter::testbed {

namespace {
constexpr int hosts_each = 250, first_host = 2, lock_port = 7997;
constexpr int first_x = 96, xs = 96, ys = 254;
}  // namespace

AddressBlock::AddressBlock(int hosts) {
    const int from = getpid() % (xs * ys);
    for (int k = 0; k < xs * ys && static_cast<int>(nets_.size()) * hosts_each < hosts; ++k) {
        const int at = (from + k) % (xs * ys), x = first_x + at / ys, y = 1 + at % ys;
        const std::string lock =
            "127." + std::to_string(x) + "." + std::to_string(y) + ".1:" + std::to_string(lock_port);
        try {
            nets_.push_back({x, y, listen_on(*Address::from(lock))});
        } catch (const std::system_error&) {  // another process has this block
            continue;
        }
    }
    if (static_cast<int>(nets_.size()) * hosts_each < hosts)
        throw std::runtime_error("no loopback addresses free for " + std::to_string(hosts) + " peers");
}

std::string AddressBlock::host(int n) const {
    const Net& net = nets_.at(static_cast<size_t>(n / hosts_each));
    return "127." + std::to_string(net.x) + "." + std::to_string(net.y) + "." +
           std::to_string(first_host + n % hosts_each);
}

int raise_descriptors() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 1024;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, 1 << 30));
}

}  // namespace headrouter::testbed
