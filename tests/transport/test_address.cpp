// Tests the parsing of addresses.
#include <gtest/gtest.h>

#include "transport/socket.h"

using namespace headrouter;

TEST(Address, IsParsedOnlyFromNumericHostAndPort) {
    for (const char* malformed :
         {"", ":", "1.2.3.4", "1.2.3.4:", ":80", "name:80", "1.2.3.4:x", "1.2.3.4:99999999"})
        EXPECT_FALSE(Address::from(malformed));
    EXPECT_TRUE(Address::from("[::1]:80"));
    EXPECT_TRUE(Address::from("127.0.0.1:80"));
}
